"""The connections of the application: requests come in, final answers go out."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Generator

from maddercart.http.server import MAX_BODY_BYTES, Request, RequestError
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.responses import ClientResponse, client_error_response
from maddercart.net.loop import (
    DEADLINE_PASSED,
    NEXT_TURN,
    NO_EVENTS,
    READ,
    WOKEN,
    Coroutine,
    Loop,
    Task,
    Wait,
)
from maddercart.net.sockets import accept, close, closed_by_peer, read, read_available, write
from maddercart.sidecar.application_connection import (
    EVICTABLE_AFTER_NS,
    PHASE_TIMEOUTS_NS,
    ApplicationConnection,
    Phase,
)
from maddercart.sidecar.request_handlers import RejectedRequest, RequestHandler

log = logging.getLogger(__name__)


class ApplicationServer:
    """Accepts and serves the connections of one listener."""

    WRITE_TIMEOUT_NS = 10 * SECOND  # for an answer: a client that stalls while reading holds a descriptor
    MAX_READ_AHEAD_BYTES = 65536  # of later requests, read while an answer is pending
    ACCEPT_RETRY_NS = 20 * MILLISECOND  # where connection slots or descriptors have run out
    ACCEPT_BATCH = 32  # connections accepted in a turn: hundreds at once must not delay those being served

    def __init__(
        self, loop: Loop, clock: Callable[[], int], handler: RequestHandler, counts: Counter[str]
    ) -> None:
        self.loop, self.clock, self.handler, self.counts = loop, clock, handler, counts
        # connections; bytes of a request's body
        self.max_connections, self.max_body_bytes = 1, MAX_BODY_BYTES
        self.connections: set[ApplicationConnection] = set()
        # The connections in each phase and when they entered it, the longest first.
        self.phases: dict[Phase, dict[ApplicationConnection, int]] = {phase: {} for phase in Phase}
        self.stopping = False
        self.answer_deadline: int | None = None  # by which queries are answered while the process stops
        self.accept_task: Task | None = None

    # -- accepting

    def accept_connections(self, listener: socket.socket) -> Coroutine:
        """Accepts connections until it is ended."""
        while True:
            yield Wait(listener.fileno(), READ)
            try:
                if len(self.connections) < self.max_connections or self.make_room():
                    self.accept_batch(listener)
                    continue
            except OSError as error:
                log.warning("connections can't be accepted", extra={"reason": str(error)})
            yield Wait(deadline=self.clock() + self.ACCEPT_RETRY_NS)

    def accept_batch(self, listener: socket.socket, limit: int = ACCEPT_BATCH) -> bool:
        """Accepts at most `limit` connections; true if there was nothing more to accept. Raises `OSError`."""
        for _ in range(limit):
            if len(self.connections) >= self.max_connections:
                return False
            if (sock := accept(listener)) is None:
                return True
            connection = ApplicationConnection(sock, self.max_body_bytes)
            if not connection.is_silent():
                connection.waiting_since = self.loop.events_since
            self.connections.add(connection)
            self.enter_phase(connection, Phase.NEW)
            connection.task = self.loop.spawn(self.serve(connection))
        return False

    def make_room(self) -> bool:
        """Evicts the connection that has been longest in its phase; true if a slot is free now or soon.
        Clients that asked once and kept their connection could otherwise hold all slots and keep out
        clients with queries."""
        now = self.clock()
        for phase, evictable_after in EVICTABLE_AFTER_NS.items():
            for connection, since in self.phases[phase].items():
                if now - since < evictable_after:
                    break
                if connection.task is not None and (phase == Phase.REFUSED or connection.is_silent()):
                    return self.evict(connection, connection.task)
        return False

    def evict(self, connection: ApplicationConnection, task: Task) -> bool:
        """True if the slot is free now or soon. A request that was read in part is answered before its
        connection is closed."""
        if connection.phase != Phase.PART:
            self.counts["crowded_out"] += 1
            self.loop.close(task)
            return True
        if self.phases[Phase.REFUSED]:  # a refused connection will free its slot in a moment
            return False
        self.loop.resume(task, DEADLINE_PASSED)
        return True

    def is_crowded(self) -> bool:
        """Whether a free slot is worth more than keeping a connection open: more than half of all slots are
        taken, and idle connections hold a third. A new connection for each query costs CPU, so neither silent
        connections alone nor many active ones are a reason to close."""
        return (
            2 * len(self.connections) > self.max_connections
            and 3 * len(self.phases[Phase.IDLE]) >= self.max_connections
        )

    def enter_phase(self, connection: ApplicationConnection, phase: Phase) -> None:
        now = self.clock()
        self.phases[connection.phase].pop(connection, None)
        self.phases[phase][connection] = now
        if (connection.phase, phase) != (Phase.NEW, Phase.PART):  # a late first byte gives no more time
            connection.phase_deadline = now + PHASE_TIMEOUTS_NS.get(phase, 0)
        connection.phase = phase

    # -- serving

    def serve(self, connection: ApplicationConnection) -> Coroutine:
        try:
            yield from self.handle_requests(connection)
        except OSError:
            pass  # the connection broke: the client has gone
        finally:
            if connection.query_number and connection.driver is not None:
                connection.driver.drop_query(connection.query_number)
            self.connections.discard(connection)
            self.phases[connection.phase].pop(connection, None)
            close(self.loop, connection.sock)

    def handle_requests(self, connection: ApplicationConnection) -> Generator[Wait, int, None]:
        """Answers requests one by one, at most one in a turn of the loop, until the connection ends.

        Raises `OSError` if it breaks.
        """
        protocol, sock = connection.protocol, connection.sock
        while not protocol.closing:
            try:
                request = yield from self.read_request(connection)
            except RequestError as error:
                return (yield from self.refuse(connection, error))
            if request is None:
                return
            self.enter_phase(connection, Phase.BUSY)
            reply = yield from self.handle(connection, request)
            if reply is None:
                return
            # Clients that ask once and keep their connection would each hold a slot for two seconds: with
            # all slots taken, or all connections that the clients have, only 60 of 400 queries a second
            # were answered.
            out = protocol.serialize_response(
                reply.status, reply.headers(), reply.body, self.stopping or self.is_crowded()
            )
            if not (yield from write(sock, out, self.write_deadline())):
                return
            if protocol.unparsed_bytes:
                # The next request has come already. The connection stays BUSY meanwhile: one that is IDLE may
                # be closed.
                yield NEXT_TURN
            else:
                self.enter_phase(connection, Phase.IDLE)

    def read_request(self, connection: ApplicationConnection) -> Generator[Wait, int, Request | None]:
        """The next request; None if the connection is to be closed. Raises `RequestError` and `OSError`."""
        protocol, sock = connection.protocol, connection.sock
        while (request := protocol.next_request()) is None:
            if protocol.unfinished:
                self.enter_read_phase(connection)
                yield NEXT_TURN
                continue
            if protocol.closing or not (
                yield from write(sock, protocol.continue_response(), self.write_deadline())
            ):
                return None
            if protocol.request_started:
                connection.waiting_since = None  # its last byte came after the connection was accepted
            self.enter_read_phase(connection)
            data = yield from read(sock, connection.phase_deadline)
            if data is None:  # it may have come in time, while the loop was busy with others
                data = read_available(sock)
            if data is None and not protocol.request_started:
                return None
            if data is None:
                raise RequestError(408, "the request did not come in time")
            protocol.feed(data)
        return request

    def refuse(self, connection: ApplicationConnection, error: RequestError) -> Generator[Wait, int, None]:
        """Answers a request that is not acceptable, after which the connection ends."""
        refusal = self.reject(error.status, str(error))
        out = connection.protocol.serialize_response(
            refusal.status, refusal.headers(), refusal.body, close=True
        )
        self.enter_phase(connection, Phase.REFUSED)
        if (yield from write(connection.sock, out, connection.phase_deadline)):
            yield from self.discard_input(connection)

    def enter_read_phase(self, connection: ApplicationConnection) -> None:
        """Enters the phase in which the rest of a request, or the next one, is read."""
        if connection.protocol.request_started:
            if connection.phase != Phase.PART:
                self.enter_phase(connection, Phase.PART)
        elif connection.phase == Phase.BUSY:
            self.enter_phase(connection, Phase.IDLE)

    def write_deadline(self) -> int:
        return self.clock() + self.WRITE_TIMEOUT_NS

    def discard_input(self, connection: ApplicationConnection) -> Generator[Wait, int, None]:
        """Reads and discards input for a while. Closing with unread input would reset the connection, and the
        client might lose the answer."""
        connection.sock.shutdown(socket.SHUT_WR)
        while (yield from read(connection.sock, connection.phase_deadline)):
            pass

    def handle(
        self, connection: ApplicationConnection, request: Request
    ) -> Generator[Wait, int, ClientResponse | None]:
        """The final answer to a request; None if the client has gone."""
        opened = self.handler.handle(request, connection.sock, self.stopping)
        if isinstance(opened, ClientResponse):
            return opened
        if isinstance(opened, RejectedRequest):
            return self.reject(opened.status, opened.reason)
        connection.reply = None
        waited = self.wait_before_accept(connection)
        opened.query.remaining = max(MILLISECOND, opened.query.remaining - waited)
        if self.answer_deadline is not None:
            left = max(MILLISECOND, self.answer_deadline - self.clock())
            opened.query.remaining = min(opened.query.remaining, left)

        def on_reply(reply: ClientResponse) -> None:
            connection.reply, connection.query_number = reply, 0
            if connection.waiting and connection.task is not None:
                self.loop.wake(connection.task)

        try:
            number = opened.driver.take_query(opened.query, on_reply, lambda: closed_by_peer(connection.sock))
            if connection.reply is None:
                connection.query_number, connection.driver, connection.waiting = number, opened.driver, True
                client_gone = yield from self.wait_for_reply(connection)
                connection.waiting = False
                if client_gone:
                    return None
        finally:
            self.handler.query_finished(opened)
        return connection.reply

    def wait_before_accept(self, connection: ApplicationConnection) -> int:
        """How long the first request of a connection waited, in nanoseconds, before the loop saw it: in the
        backlog of the listener while the process was held up."""
        since, connection.waiting_since = connection.waiting_since, None
        return 0 if since is None else max(0, self.loop.events_since - since)

    def reject(self, status: int, reason: str) -> ClientResponse:
        self.counts["unfit"] += 1
        log.debug("request rejected", extra={"status": status, "reason": reason})
        return client_error_response(status, reason)

    def wait_for_reply(self, connection: ApplicationConnection) -> Generator[Wait, int, bool]:
        """Waits until there is a reply; true if the client closed the connection first."""
        while connection.reply is None:
            events = READ if connection.protocol.unparsed_bytes < self.MAX_READ_AHEAD_BYTES else NO_EVENTS
            if (yield Wait(connection.sock.fileno(), events)) == WOKEN:
                continue
            data = read_available(connection.sock)
            if data == b"":
                return True
            if data:
                connection.protocol.feed(data)
        return False

    def phase_counts(self) -> dict[str, int]:
        return {phase.name.lower(): len(members) for phase, members in self.phases.items() if members}

    # -- stopping

    def close_idle(self) -> None:
        """Closes connections without a request under way and without unread data."""
        for connection in [*self.phases[Phase.IDLE], *self.phases[Phase.NEW]]:
            if connection.task is not None and connection.is_silent():
                self.loop.close(connection.task)
