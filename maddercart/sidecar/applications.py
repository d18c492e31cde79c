"""The application's connections: queries come in, final answers go out."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Generator
from enum import Enum, auto

from maddercart.http.application import MOST_BODY, ApplicationSide, Request, Unreadable
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.answer import Reply, unfit
from maddercart.net.loop import NOTHING, READ, TIME_UP, WOKEN, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import accept, close, ended, read, read_now, write
from maddercart.sidecar.decisions import Decisions
from maddercart.sidecar.fronts import Front, Unfit

log = logging.getLogger(__name__)


class Phase(Enum):
    NEW = auto()  # nothing has come yet
    PART = auto()  # a request has begun
    BUSY = auto()  # from a whole request to the last byte of its answer
    IDLE = auto()  # between requests
    REFUSED = auto()  # its last answer is out, and what still comes is only read away


# How long a connection may stay in a phase. Clients are on this machine or close by, so that a request takes
# milliseconds to come, and one that is slow on purpose is told after two seconds. An idle one is kept as long
# as is usual among servers.
LONGEST = {Phase.NEW: 2 * SECOND, Phase.PART: 2 * SECOND, Phase.IDLE: 60 * SECOND, Phase.REFUSED: SECOND // 2}

# Once places have run out, how long a connection keeps its own, by what it would lose, least first: a client
# that says nothing, or was refused, loses nothing; one that keeps its connection may have to open another.
KEEPS = {
    Phase.REFUSED: SECOND // 10, Phase.NEW: SECOND // 10, Phase.IDLE: 2 * SECOND, Phase.PART: SECOND // 2,
}  # fmt: skip


class Application:
    """One connection of it."""

    __slots__ = ("desk", "number", "phase", "reply", "side", "sock", "task", "until", "waits")

    def __init__(self, sock: socket.socket, most_body: int) -> None:
        self.sock, self.side = sock, ApplicationSide(most_body)
        self.phase, self.until = Phase.BUSY, 0  # in which until when
        self.task: Task | None = None
        self.number = 0  # of the query it waits for
        self.desk: Decisions | None = None  # where that is held
        self.reply: Reply | None = None
        self.waits = False  # for a reply, so that one must wake it

    def silent(self) -> bool:
        """Nothing has come that was not read yet."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing has come, or nothing can come any more
            return True


class Applications:
    WRITE_WITHIN = 10 * SECOND  # an answer: a reader that stalls holds a descriptor
    AHEAD = 65536  # bytes read that came before their turn
    PAUSE = 20 * MILLISECOND  # before the next try where places or descriptors have run out
    AT_ONCE = 32  # connections taken in a turn: hundreds that come together must not hold up those in hand

    def __init__(self, loop: Loop, clock: Callable[[], int], front: Front, counts: Counter[str]) -> None:
        self.loop, self.clock, self.front, self.counts = loop, clock, front, counts
        self.most, self.most_body = 1, MOST_BODY
        self.open: set[Application] = set()
        # Those in each phase, and since when, the longest first.
        self.phases: dict[Phase, dict[Application, int]] = {phase: {} for phase in Phase}
        self.stopping = False
        self.answer_by: int | None = None  # the process leaves soon after
        self.acceptor: Task | None = None

    # -- accepting

    def accept_from(self, listener: socket.socket) -> Coroutine:
        while True:
            yield Wait(listener.fileno(), READ)
            try:
                if len(self.open) < self.most or self.make_room():
                    self.accept_some(listener)
                    continue
            except OSError as error:
                log.warning("connections can't be accepted", extra={"reason": str(error)})
            yield Wait(until=self.clock() + self.PAUSE)

    def accept_some(self, listener: socket.socket, at_once: int = AT_ONCE) -> bool:
        """True if there was nothing more to accept. Raises `OSError`."""
        for _ in range(at_once):
            if len(self.open) >= self.most:
                return False
            if (sock := accept(listener)) is None:
                return True
            application = Application(sock, self.most_body)
            self.open.add(application)
            self.enter(application, Phase.NEW)
            application.task = self.loop.spawn(self.serve(application))
        return False

    def make_room(self) -> bool:
        """Guards against connections on which nothing is asked keeping those away that would ask: all places
        were held by clients that had asked once. The one that has lasted longest in its phase goes."""
        now = self.clock()
        for phase, keeps in KEEPS.items():
            for application, since in self.phases[phase].items():
                if now - since < keeps:
                    break
                if application.task is not None and (phase == Phase.REFUSED or application.silent()):
                    return self.evict(application, application.task)
        return False

    def evict(self, application: Application, task: Task) -> bool:
        """True if its place is free now or soon. What has been read in part gets an answer before it goes."""
        if application.phase != Phase.PART:
            self.counts["crowded_out"] += 1
            self.loop.end(task)
            return True
        if self.phases[Phase.REFUSED]:  # the place of one that has its answer is free in a moment
            return False
        self.loop.resume(task, TIME_UP)
        return True

    def crowded(self) -> bool:
        """A place is worth more than a connection that is kept: half are taken, a third by such that rest.
        A new connection for each query costs CPU: silent ones alone, or many that are used, don't count."""
        return 2 * len(self.open) > self.most and 3 * len(self.phases[Phase.IDLE]) >= self.most

    def enter(self, application: Application, phase: Phase) -> None:
        now = self.clock()
        self.phases[application.phase].pop(application, None)
        self.phases[phase][application] = now
        if (application.phase, phase) != (Phase.NEW, Phase.PART):  # to begin late gives no more time
            application.until = now + LONGEST.get(phase, 0)
        application.phase = phase

    # -- serving

    def serve(self, application: Application) -> Coroutine:
        try:
            yield from self.converse(application)
        except OSError:
            pass  # it broke; whoever waited on it has gone
        finally:
            if application.number and application.desk is not None:
                application.desk.left(application.number)
            self.open.discard(application)
            self.phases[application.phase].pop(application, None)
            close(self.loop, application.sock)

    def converse(self, application: Application) -> Generator[Wait, int, None]:
        side, sock = application.side, application.sock
        while not side.closing:
            try:
                request = side.next_request()
                if request is None:
                    if side.closing or not (yield from write(sock, side.go_on(), self.write_by())):
                        return
                    if side.begun and application.phase != Phase.PART:
                        self.enter(application, Phase.PART)
                    data = yield from read(sock, application.until)
                    if data is None and not side.begun:
                        return
                    if data is None:
                        raise Unreadable(408, "the request did not come in time")
                    side.feed(data)
                    continue
            except Unreadable as error:
                refusal = self.unfit(error.status, str(error))
                out = side.answer(refusal.status, refusal.headers(), refusal.body, close=True)
                self.enter(application, Phase.REFUSED)
                if not (yield from write(sock, out, application.until)):
                    return
                return (yield from self.linger(application))
            self.enter(application, Phase.BUSY)
            reply = yield from self.answer(application, request)
            if reply is None:
                return
            # Guards against clients that ask once and keep their connection: each was kept for two seconds;
            # with all places taken, or all that clients have, 60 queries a second of 400 were answered.
            out = side.answer(reply.status, reply.headers(), reply.body, self.stopping or self.crowded())
            if not (yield from write(sock, out, self.write_by())):
                return
            self.enter(application, Phase.IDLE)

    def write_by(self) -> int:
        return self.clock() + self.WRITE_WITHIN

    def linger(self, application: Application) -> Generator[Wait, int, None]:
        """What still comes is read for a while, or the connection's end would undo the answer."""
        application.sock.shutdown(socket.SHUT_WR)
        while (yield from read(application.sock, application.until)):
            pass

    def answer(self, application: Application, request: Request) -> Generator[Wait, int, Reply | None]:
        """The final answer to a request; None if its client has gone."""
        opened = self.front.receive(request, application.sock, self.stopping)
        if isinstance(opened, Reply):
            return opened
        if isinstance(opened, Unfit):
            return self.unfit(opened.status, opened.reason)
        application.reply = None
        if self.answer_by is not None:
            left = max(MILLISECOND, self.answer_by - self.clock())
            opened.query.remaining = min(opened.query.remaining, left)

        def answered(reply: Reply) -> None:
            application.reply, application.number = reply, 0
            if application.waits and application.task is not None:
                self.loop.wake(application.task)

        try:
            number = opened.desk.take(opened.query, answered, lambda: ended(application.sock))
            if application.reply is None:
                application.number, application.desk, application.waits = number, opened.desk, True
                gone = yield from self.wait(application)
                application.waits = False
                if gone:
                    return None
        finally:
            self.front.over(opened)
        return application.reply

    def unfit(self, status: int, reason: str) -> Reply:
        self.counts["unfit"] += 1
        log.debug("request unfit", extra={"status": status, "reason": reason})
        return unfit(status, reason)

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

    def phase_counts(self) -> dict[str, int]:
        return {phase.name.lower(): len(those) for phase, those in self.phases.items() if those}

    # -- stopping

    def close_idle(self) -> None:
        """Those between requests on which nothing has come."""
        for application in [*self.phases[Phase.IDLE], *self.phases[Phase.NEW]]:
            if application.task is not None and application.silent():
                self.loop.end(application.task)
