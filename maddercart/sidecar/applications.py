"""The connections of the application: requests come in, final answers go out."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Generator

from maddercart.http.server import MAX_BODY_BYTES, Request, RequestError
from maddercart.interface import MILLISECOND
from maddercart.messages.query import Query
from maddercart.messages.responses import ClientResponse, bounced_response, client_error_response
from maddercart.net.loop import (
    NEXT_TURN,
    RANK_SOON,
    READ,
    Coroutine,
    Loop,
    Task,
    Wait,
)
from maddercart.net.sockets import (
    PeerState,
    accept,
    age_of_last_data,
    close,
    peer_state,
    read,
    write,
)
from maddercart.sidecar.application_connection import (
    PHASE_TIMEOUTS_NS,
    ApplicationConnection,
    Phase,
)
from maddercart.sidecar.eviction import Evictor, Phases
from maddercart.sidecar.memory import MemoryLedger
from maddercart.sidecar.request_handlers import AcceptedQuery, RejectedRequest, RequestHandler
from maddercart.sidecar.request_reader import MEMORY_REFUSAL_STATUS, RequestReader

log = logging.getLogger(__name__)


class ApplicationServer:
    """Accepts and serves the connections of one listener."""

    ACCEPT_RETRY_NS = 20 * MILLISECOND  # where connection slots or descriptors have run out
    ACCEPT_BATCH = 32  # connections accepted in a turn: hundreds at once must not delay those being served

    def __init__(
        self, loop: Loop, clock: Callable[[], int], handler: RequestHandler, counts: Counter[str],
        ledger: MemoryLedger,
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.handler, self.counts = loop, clock, handler, counts
        self.ledger = ledger
        # connections; bytes of a request's body
        self.max_connections, self.max_body_bytes = 1, MAX_BODY_BYTES
        self.connections: set[ApplicationConnection] = set()
        self.phases: Phases = {phase: {} for phase in Phase}
        self.evictor = Evictor(loop, clock, counts, ledger, self.phases)
        self.stopping = False
        self.answer_deadline: int | None = None  # by which queries are answered while the process stops
        self.accept_task: Task | None = None
        self.reader = RequestReader(loop, clock, self.enter_phase, counts)

    # -- accepting

    def accept_connections(self, listener: socket.socket) -> Coroutine:
        """Accepts connections until it is ended."""
        while True:
            yield Wait(listener.fileno(), READ)
            try:
                if len(self.connections) < self.max_connections or self.evictor.make_room():
                    self.accept_batch(listener)
                    continue
            except OSError as error:
                log.warning("connections can't be accepted", extra={"reason": str(error)})
            except Exception:
                log.exception("accepting failed")  # the listener goes on
            yield Wait(deadline=self.clock() + self.ACCEPT_RETRY_NS)

    def accept_batch(self, listener: socket.socket, limit: int = ACCEPT_BATCH) -> bool:
        """Accepts at most `limit` connections; true if there was nothing more to accept. Raises `OSError`."""
        for _ in range(limit):
            if len(self.connections) >= self.max_connections:
                return False
            if (sock := accept(listener)) is None:
                return True
            connection = ApplicationConnection(sock, self.max_body_bytes, self.ledger)
            if not connection.is_silent():
                connection.waiting_since = self.loop.events_since
            self.connections.add(connection)
            self.enter_phase(connection, Phase.NEW)
            connection.task = self.loop.spawn(self.serve(connection))
        return False

    def is_crowded(self) -> bool:
        """Whether a free slot is worth more than keeping a connection open: more than half of all slots are
        taken, and idle connections hold a third. Clients that ask once and keep their connection would hold
        the slots of others; a new connection for each query costs CPU, so neither silent connections alone
        nor many active ones are a reason to close."""
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
            connection.account.close()
            close(self.loop, connection.sock)

    def handle_requests(self, connection: ApplicationConnection) -> Generator[Wait, int, None]:
        """Answers requests one by one, at most one in a turn of the loop, until the connection ends.

        Raises `OSError` if it breaks.
        """
        try:
            while not connection.protocol.closing and (yield from self.answer_next(connection)):
                pass
        except RequestError as error:
            yield from self.refuse(connection, error)

    def answer_next(self, connection: ApplicationConnection) -> Generator[Wait, int, bool]:
        """Reads and answers one request; false if the connection is to be closed. Raises `RequestError` and
        `OSError`."""
        connection.rank_by_backlog()
        if not (yield from self.reader.refuse_excess(connection)):
            return False
        sent_ahead = connection.ahead.pending
        request = yield from self.reader.read_request(connection, connection.protocol)
        if request is None:
            return False
        self.enter_phase(connection, Phase.BUSY)
        connection.hold_query(request)
        waited = self.wait_before_last_read(connection)
        reply: ClientResponse | None
        if sent_ahead and self.stopping:
            self.counts["refused_ahead"] += 1
            reply = bounced_response(0)
        else:
            reply = yield from self.handle(connection, request, waited)
        return reply is not None and (yield from self.send_reply(connection, reply))

    def send_reply(
        self, connection: ApplicationConnection, reply: ClientResponse
    ) -> Generator[Wait, int, bool]:
        """Writes a final answer; false if the client doesn't read it in time. Raises `OSError`.

        Requests that have been read are answered before the connection is closed. Until then it stays BUSY:
        one that is IDLE may be closed.
        """
        has_more = connection.ahead.pending
        close = not has_more and (self.stopping or self.is_crowded())
        out = connection.protocol.serialize_response(reply.status, reply.headers(), reply.body, close)
        connection.hold_answer(len(reply.body))
        self.enter_phase(connection, Phase.WRITING)
        if not (yield from write(connection.sock, out, self.reader.write_deadline())):
            return False
        connection.hold_answer(0)
        connection.hold_ahead()
        connection.rank_by_backlog()
        if has_more:
            self.enter_phase(connection, Phase.BUSY)
            yield NEXT_TURN
        else:
            self.enter_phase(connection, Phase.IDLE)
        return True

    def refuse(self, connection: ApplicationConnection, error: RequestError) -> Generator[Wait, int, None]:
        """Answers a request that is not acceptable, after which the connection ends."""
        refusal = (
            client_error_response(error.status, str(error))
            if error.status == MEMORY_REFUSAL_STATUS
            else self.reject(error.status, str(error))
        )
        out = connection.protocol.serialize_response(
            refusal.status, refusal.headers(), refusal.body, close=True
        )
        self.enter_phase(connection, Phase.REFUSED)
        connection.drop_input()
        if (yield from write(connection.sock, out, connection.phase_deadline)):
            yield from self.discard_input(connection)

    def discard_input(self, connection: ApplicationConnection) -> Generator[Wait, int, None]:
        """Reads and discards input for a while. Closing with unread input would reset the connection, and the
        client might lose the answer."""
        connection.sock.shutdown(socket.SHUT_WR)
        while (yield from read(connection.sock, connection.phase_deadline)):
            pass

    def handle(
        self, connection: ApplicationConnection, request: Request, waited: int
    ) -> Generator[Wait, int, ClientResponse | None]:
        """The final answer to a request; None if the client has gone. `waited`: nanoseconds before the event
        with which its last part was read."""
        opened = self.handler.handle(request, connection.sock, self.stopping)
        if isinstance(opened, ClientResponse):
            return opened
        if isinstance(opened, RejectedRequest):
            return self.reject(opened.status, opened.reason)
        connection.reply = None
        query, since = opened.query, self.loop.events_since
        query.remaining = max(MILLISECOND, query.remaining - waited)
        if self.answer_deadline is not None:
            left = max(MILLISECOND, self.answer_deadline - self.clock())
            query.remaining = min(query.remaining, left)
        try:
            state = yield from self.reader.read_until_known(connection, since + query.remaining)
            if state != PeerState.OPEN:
                return self.decline(query, state)
            query.remaining = max(MILLISECOND, query.remaining - (self.loop.events_since - since))
            return (yield from self.ask_driver(connection, opened))
        finally:
            self.handler.query_finished(opened)

    def ask_driver(
        self, connection: ApplicationConnection, opened: AcceptedQuery
    ) -> Generator[Wait, int, ClientResponse | None]:
        """The driver's answer to a query; None if the client has gone."""

        def on_reply(reply: ClientResponse) -> None:
            connection.reply, connection.query_number = reply, 0
            if connection.waiting and connection.task is not None:
                connection.task.rank = RANK_SOON  # answers go out before further requests are handled
                self.loop.wake(connection.task)

        number = opened.driver.take_query(opened.query, on_reply, lambda: peer_state(connection.sock))
        if connection.reply is None:
            connection.query_number, connection.driver, connection.waiting = number, opened.driver, True
            client_gone = yield from self.reader.wait_for_reply(connection)
            connection.waiting = False
            if client_gone:
                return None
        return connection.reply

    def decline(self, query: Query, state: PeerState) -> ClientResponse | None:
        """Ends a query that no driver has taken: there is no answer if its client has gone."""
        if state == PeerState.CLOSED:
            self.counts["left"] += 1
            query.on_finished(0, "left")
            return None
        self.counts["refused_ahead"] += 1
        query.on_finished(0, "bounced")
        return bounced_response(0)

    def wait_before_last_read(self, connection: ApplicationConnection) -> int:
        """How long a request waited, in nanoseconds, before the event with which its last part was read: in
        the backlog of the listener or in the socket, while the process was held up or stopped, or while a
        request before it was being answered."""
        since, connection.waiting_since = connection.waiting_since, None
        noted = 0 if since is None else self.loop.events_since - since
        told_by_system = age_of_last_data(connection.sock) - self.loop.max_event_delay()
        return max(0, noted, told_by_system)

    def reject(self, status: int, reason: str) -> ClientResponse:
        self.counts["unfit"] += 1
        self.counts[f"unfit_{status}"] += 1
        log.debug("request rejected", extra={"status": status, "reason": reason})
        return client_error_response(status, reason)

    # -- stopping

    def close_idle(self) -> None:
        """Closes connections without a request under way and without unread data."""
        for connection in [*self.phases[Phase.IDLE], *self.phases[Phase.NEW]]:
            if connection.task is not None and connection.is_silent():
                self.loop.close(connection.task)
