"""Reads the input of an application connection: requests, and what lies behind the one being answered."""

from collections import Counter
from collections.abc import Callable, Generator

from maddercart.http.read_ahead import EXCESS_READ_BYTES
from maddercart.http.server import Request, RequestError, ServerProtocol
from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import DEADLINE_PASSED, NEXT_TURN, READ, WOKEN, Loop, Wait
from maddercart.net.sockets import READ_SIZE_BYTES, PeerState, peer_state, read_available, write
from maddercart.sidecar.application_connection import ApplicationConnection, Phase
from maddercart.sidecar.memory import AHEAD_SHARE, REQUEST_SHARE, MemoryUse, wait_for_room

MEMORY_REFUSAL_STATUS = 503  # nothing was sent on, so a retry is harmless
NO_MEMORY = "there is no memory for the request; a retry is harmless"


class RequestReader:
    """Reads for all connections of a listener. Times are in nanoseconds of the loop's clock."""

    WRITE_TIMEOUT_NS = 10 * SECOND  # for an answer: a client that stalls while reading holds a descriptor
    REFUSAL_MARGIN_NS = 20 * MILLISECOND  # before a query's deadline, for its refusal to arrive in time
    REFUSALS_PER_TURN = 64  # written for a connection whose client has sent too much ahead

    def __init__(
        self, loop: Loop, clock: Callable[[], int],
        enter_phase: Callable[[ApplicationConnection, Phase], None], counts: Counter[str],
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.enter_phase, self.counts = loop, clock, enter_phase, counts

    def read_request(
        self, connection: ApplicationConnection, protocol: ServerProtocol
    ) -> Generator[Wait, int, Request | None]:
        """The next request; None if the connection is to be closed. Raises `RequestError` and `OSError`."""
        sock = connection.sock
        while (request := protocol.next_request()) is None:
            connection.hold_part(protocol)
            if protocol.unfinished:
                self.enter_read_phase(connection, protocol)
                if self.clock() >= connection.phase_deadline:
                    raise self.part_refusal(connection)
                connection.rank_by_backlog(more_to_parse=True)
                yield NEXT_TURN
                continue
            if protocol.closing or not (
                yield from write(sock, protocol.continue_response(), self.write_deadline())
            ):
                return None
            self.note_unread_since(connection, protocol)
            self.enter_read_phase(connection, protocol)
            wanted = min(READ_SIZE_BYTES, protocol.bytes_wanted)
            data = yield from self.receive(connection, wanted)
            if data is None and not protocol.request_started:
                return None
            if data is None:
                raise self.part_refusal(connection)
            protocol.feed(data)
            del data  # not held a second time while more is awaited
        return request

    def receive(
        self, connection: ApplicationConnection, wanted_bytes: int
    ) -> Generator[Wait, int, bytes | None]:
        """Input of a request, once there is memory for it: empty at the end of the stream, None if the phase
        of the connection has ended. Raises `OSError`."""
        sock, account = connection.sock, connection.account
        while True:
            reason = yield Wait(sock.fileno(), READ, connection.phase_deadline)
            if connection.evicted_for_memory:
                return None
            while not (readable := account.readable_bytes(MemoryUse.PARTS, REQUEST_SHARE, wanted_bytes)):
                account.ledger.relieve()
                connection.evicted_for_memory |= self.clock() >= connection.phase_deadline
                if connection.evicted_for_memory:
                    return None
                yield wait_for_room(self.clock, connection.phase_deadline)
            data = read_available(sock, readable)
            # At the deadline: it may have come in time, while the loop was busy with others.
            if data is not None or reason == DEADLINE_PASSED:
                return data

    def part_refusal(self, connection: ApplicationConnection) -> RequestError:
        """Why a request that was received in part is refused."""
        if connection.evicted_for_memory:
            self.counts["refused_memory"] += 1
            return RequestError(
                MEMORY_REFUSAL_STATUS, "there is no memory for the request; a retry is harmless"
            )
        return RequestError(408, "the request did not come in time")

    def note_unread_since(self, connection: ApplicationConnection, protocol: ServerProtocol) -> None:
        """Notes since when input has lain unread behind the part of a request that has been read: the rest,
        which is read in later turns, may all have come by then."""
        if not protocol.request_started:
            return
        if connection.is_silent():
            connection.waiting_since = None
        elif connection.waiting_since is None:
            connection.waiting_since = self.loop.events_since

    def enter_read_phase(self, connection: ApplicationConnection, protocol: ServerProtocol) -> None:
        """Enters the phase in which the rest of a request, or the next one, is read."""
        if protocol.request_started:
            if connection.phase != Phase.PART:
                self.enter_phase(connection, Phase.PART)
        elif connection.phase == Phase.BUSY:
            self.enter_phase(connection, Phase.IDLE)

    def write_deadline(self) -> int:
        return self.clock() + self.WRITE_TIMEOUT_NS

    def read_until_known(
        self, connection: ApplicationConnection, deadline: int
    ) -> Generator[Wait, int, PeerState]:
        """Reads on while input lies unread, so that a query of a client that has left, or sends without
        pause, takes no place at an upstream. UNREAD if there is still some shortly before `deadline`."""
        give_up_at = deadline - self.REFUSAL_MARGIN_NS
        try:
            while (state := peer_state(connection.sock)) == PeerState.UNREAD and self.clock() < give_up_at:
                if connection.ahead.unfinished:
                    connection.ahead.parse()
                else:
                    self.read_on(connection)
                yield NEXT_TURN
        except OSError:  # the connection broke
            return PeerState.CLOSED
        return state

    def wait_for_reply(self, connection: ApplicationConnection) -> Generator[Wait, int, bool]:
        """Waits until there is a reply, and reads on; true if the client closed the connection first."""
        ahead = connection.ahead
        while connection.reply is None:
            if ahead.unfinished:
                yield NEXT_TURN
                ahead.parse()
                continue
            if (yield Wait(connection.sock.fileno(), READ)) == WOKEN:
                continue
            if self.read_on(connection) == b"":
                return True
        return False

    def read_on(self, connection: ApplicationConnection) -> bytes | None:
        """Reads what lies behind the request that is being answered; the result is that of
        `read_available`."""
        wanted = connection.ahead.room()
        readable = connection.account.readable_bytes(
            MemoryUse.AHEAD, AHEAD_SHARE, wanted or EXCESS_READ_BYTES
        )
        if not readable:
            self.stop_reading_ahead(connection)
        elif not wanted:
            connection.ahead.begin_excess()
            return None
        if data := read_available(connection.sock, readable or EXCESS_READ_BYTES):
            connection.ahead.feed(data)
        connection.hold_ahead()
        connection.rank_by_backlog()
        return data

    def stop_reading_ahead(self, connection: ApplicationConnection) -> None:
        """Drops further input for want of memory. It is read all the same, as the end comes behind it."""
        self.counts["stopped_ahead"] += 1
        reason = RequestError(
            MEMORY_REFUSAL_STATUS, "there is no memory for requests sent ahead; a retry is harmless"
        )
        connection.ahead.stop(reason)

    def refuse_excess(self, connection: ApplicationConnection) -> Generator[Wait, int, bool]:
        """Refuses what the client has sent beyond the limit, unless requests within it come first; false if
        the connection is to be closed. Raises `RequestError` and `OSError`."""
        while (excess := connection.ahead.excess) is not None:
            if excess.kept:
                excess.kept -= 1
                return True
            if excess.unfinished:
                yield NEXT_TURN
                excess.parse()
            elif number := min(self.REFUSALS_PER_TURN, excess.refused):
                self.counts["refused_ahead"] += number
                out = excess.take_refusals(number)
                if not (yield from write(connection.sock, out, self.write_deadline())):
                    return False
                yield NEXT_TURN
            elif excess.error is not None:
                raise excess.error
            elif excess.protocol.closing:
                yield from write(connection.sock, excess.last_refusal, self.write_deadline())
                return False
            elif not excess.protocol.request_started:
                connection.ahead.end_excess()
            elif (yield from self.read_request(connection, excess.protocol)) is None:
                return False
            else:
                self.enter_phase(connection, Phase.BUSY)
                excess.count()
                excess.parse()
        return True
