"""The application's connections: queries come in, final answers go out."""

import logging
import socket
from collections.abc import Callable, Generator, Mapping

from maddercart.http.application import ApplicationSide, Request, Unreadable
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.answer import Reply, unfit
from maddercart.messages.query import UnfitQuery, read_query
from maddercart.net.loop import NOTHING, READ, WOKEN, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import accept, close, read, read_now, write
from maddercart.sidecar.decisions import Decisions

log = logging.getLogger(__name__)

READY_PATH = b"/-/ready"


class Application:
    """One connection of it."""

    __slots__ = ("busy", "number", "reply", "side", "sock", "task", "waits")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.side = sock, ApplicationSide()
        self.task: Task | None = None
        self.number = 0  # of the query it waits for
        self.reply: Reply | None = None
        self.waits = False  # for a reply, so that one must wake it
        self.busy = False  # from a whole request to the last byte of its answer

    @property
    def between(self) -> bool:
        """Nothing has come of a further request, as far as was read."""
        return not (self.busy or self.side.begun)


class Applications:
    WHOLE_WITHIN = 10 * SECOND  # a request that has begun: a client that stalls holds a descriptor
    WRITE_WITHIN = 10 * SECOND  # an answer: a reader that stalls does too
    AHEAD = 65536  # bytes read that came before their turn
    LINGER = SECOND // 2  # a refused connection is read on for so long, or its end would undo the answer
    PAUSE = 20 * MILLISECOND  # before the next try where descriptors have run out

    def __init__(
        self, loop: Loop, clock: Callable[[], int], decisions: Decisions, offerings: Mapping[str, int],
        ready: Callable[[], bool], most: int,
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.decisions = loop, clock, decisions
        self.offerings, self.ready, self.most = offerings, ready, most
        self.open: set[Application] = set()
        self.stopping = False
        self.acceptor: Task | None = None

    # -- accepting

    def accept_from(self, listener: socket.socket) -> Coroutine:
        while True:
            full = len(self.open) >= self.most
            yield Wait() if full else Wait(listener.fileno(), READ)
            try:
                self.accept_all(listener)
            except OSError as error:
                log.warning("connections can't be accepted", extra={"reason": str(error)})
                yield Wait(until=self.clock() + self.PAUSE)

    def accept_all(self, listener: socket.socket) -> None:
        while len(self.open) < self.most and (sock := accept(listener)) is not None:
            application = Application(sock)
            self.open.add(application)
            application.task = self.loop.spawn(self.serve(application))

    # -- serving

    def serve(self, application: Application) -> Coroutine:
        try:
            yield from self.converse(application)
        except OSError:
            pass  # it broke; whoever waited on it has gone
        finally:
            if application.number:
                self.decisions.left(application.number)
            self.open.discard(application)
            close(self.loop, application.sock)
            if self.acceptor is not None and len(self.open) == self.most - 1:
                self.loop.wake(self.acceptor)

    def converse(self, application: Application) -> Generator[Wait, int, None]:
        side, sock = application.side, application.sock
        whole_by: int | None = None  # once a request has begun
        while not side.closing:
            try:
                request = side.next_request()
            except Unreadable as error:
                refusal = unfit(error.status, str(error))
                out = side.answer(refusal.status, refusal.headers(), refusal.body, close=True)
                yield from write(sock, out, self.write_by())
                return (yield from self.linger(sock))
            if request is None:
                if side.closing or not (yield from write(sock, side.go_on(), self.write_by())):
                    return
                whole_by = (whole_by or self.clock() + self.WHOLE_WITHIN) if side.begun else None
                data = yield from read(sock, whole_by)
                if data is None:
                    return
                side.feed(data)
                continue
            application.busy, whole_by = True, None
            reply = yield from self.answer(application, request)
            if reply is None:
                return
            out = side.answer(reply.status, reply.headers(), reply.body, self.stopping)
            if not (yield from write(sock, out, self.write_by())):
                return
            application.busy = False

    def write_by(self) -> int:
        return self.clock() + self.WRITE_WITHIN

    def linger(self, sock: socket.socket) -> Generator[Wait, int, None]:
        sock.shutdown(socket.SHUT_WR)
        until = self.clock() + self.LINGER
        while (yield from read(sock, until)):
            pass

    def answer(self, application: Application, request: Request) -> Generator[Wait, int, Reply | None]:
        """The final answer to a request; None if its client has gone."""
        if request.target.partition(b"?")[0] == READY_PATH:
            ready = self.ready() and not self.stopping
            return Reply(200, b"ready\n") if ready else Reply(503, b"not ready\n")
        try:
            query = read_query(*request, self.offerings)
        except UnfitQuery as error:
            self.decisions.counts["unfit"] += 1
            return unfit(error.status, str(error))
        application.reply = None

        def answered(reply: Reply) -> None:
            application.reply, application.number = reply, 0
            if application.waits and application.task is not None:
                self.loop.wake(application.task)

        number = self.decisions.take(query, answered)
        if application.reply is None:
            application.number, application.waits = number, True
            gone = yield from self.wait(application)
            application.waits = False
            if gone:
                return None
        return application.reply

    def wait(self, application: Application) -> Generator[Wait, int, bool]:
        """Until there is a reply; true if the client has gone before."""
        while application.reply is None:
            events = READ if application.side.held < self.AHEAD else NOTHING
            if (yield Wait(application.sock.fileno(), events)) == WOKEN:
                continue
            data = read_now(application.sock)
            if data == b"":
                return True
            if data:
                application.side.feed(data)
        return False

    # -- stopping

    def close_idle(self) -> None:
        """Those between requests on which nothing has come."""
        for application in list(self.open):
            if application.between and application.task is not None:
                try:
                    idle = not application.sock.recv(1, socket.MSG_PEEK)
                except OSError:  # nothing has come, or nothing can come any more
                    idle = True
                if idle:
                    self.loop.end(application.task)
