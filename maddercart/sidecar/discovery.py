"""Follows the list of upstreams at discovery, with at most one watch open.

While moving to another service, the watch of the previous one stays open beside the new one. The balancer
decides when to retry after a failure. Times are nanoseconds of the monotonic clock.

docs/told.md defines when a change counts as told, and names the code that ensures it.
"""

import logging
import socket
from collections.abc import Callable, Generator, Sequence

import msgspec

from maddercart.http.watch import InvalidListing, WatchError, WatchProtocol
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.upstreams import Listing, decode_listing
from maddercart.net.loop import NEXT_TURN, RANK_FIRST, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import close, connect, read, write
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)

# Longest silence of an open watch. Discovery sends an empty line every 2 s, and changes missed on a silent
# watch count as told 6 s after its last line. This tolerates one missing line and a third of the next
# interval, and leaves more than half of the 6 s for the calls that fetch what was missed.
WATCH_SILENCE_TIMEOUT_NS = 2750 * MILLISECOND
# How long a call may go without data: the initial value, and the limit as it doubles with each call until one
# is answered. A service that handles calls in turn may take 2 s, and a call abandoned too early rejoins the
# end of its queue. A call that hangs while discovery recovers, the longest retry pause and an answered call
# must together fit into 6 s.
ANSWER_TIMEOUT_NS, MAX_ANSWER_TIMEOUT_NS = 2 * SECOND, 3 * SECOND
LIST_TIMEOUT_NS = 6 * SECOND  # from the first byte of a list to its last
# From the operators' documentation: missed changes count as told this long after the last data of a silent or
# broken watch, and the list of a new service this long after the SIGHUP that names it.
MISSED_CHANGES_DEADLINE_NS, SERVICE_MOVE_DEADLINE_NS = 6 * SECOND, 4 * SECOND

# Listings applied in a turn of the loop. After a stall several come in one read, and a read has room for
# thousands.
MAX_LISTINGS_PER_TURN = 64


class WatchConnection:
    """One connection to a discovery service, for an optional request of the whole list and then a watch."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], version: int | None) -> None:
        self.address = address
        # Version of the last list received from this service. None: the whole list is requested first.
        self.version = version
        self.sock = sock
        self.protocol = WatchProtocol(f"{address[0]}:{address[1]}")
        self.task: Task | None = None
        self.last_received_at = 0  # on the watch; 0: nothing yet
        self.read_timeout = 0  # until the first list has arrived
        self.has_unapplied = False  # part of what was read is put off to the next turn
        self.value_started_at = 0  # when the first byte of an incomplete value arrived; 0: there is none


class Discovery:
    def __init__(
        self, loop: Loop, clock: Callable[[], int], address: tuple[str, int], upstreams: Upstreams,
        on_listings: Callable[[Sequence[Listing]], None], on_failure: Callable[[int | None], None],
    ) -> None:  # fmt: skip
        """Opens no connection before `follow` is called.

        `on_listings` gets the listings of one read, a limited number of them in a turn. `on_failure` gets the
        nanoseconds that remain until missed changes count as told, or None if there is no such time or it has
        passed.
        """
        self.loop, self.clock, self.address, self.upstreams = loop, clock, address, upstreams
        self.on_listings, self.on_failure = on_listings, on_failure
        self.failures = 0  # connections that have failed since the last listing
        self.last_heard_at = clock()
        self.following = False
        # The known list is another service's, or is not sufficient as a base for changes.
        self.needs_whole_list = False
        self.answer_timeout = ANSWER_TIMEOUT_NS
        self.list_due_at: int | None = None  # when missed changes count as told, or None
        self.current: WatchConnection | None = None
        # Kept open during a move until the new service has sent its list.
        self.previous: WatchConnection | None = None

    def follow(self) -> None:
        """Requests the list, unless that is under way.

        The connection has the highest priority in each turn of the loop, because a drain counts as soon as it
        is told.
        """
        if not self.following:
            self.following = True
            self.loop.call_at(self.clock(), self.open_connection)

    def open_connection(self) -> None:
        if not self.following or self.current is not None:
            return
        try:
            connection = WatchConnection(
                self.loop.system_calls.tcp(),
                self.address,
                None if self.needs_whole_list else self.upstreams.version,
            )
        except Exception as error:
            self.handle_failure(None, error)
            return
        self.current = connection
        connection.task = self.loop.spawn(self.run_connection(connection), RANK_FIRST)

    def switch_service(self, address: tuple[str, int]) -> None:
        """Follows the service at another address from now on.

        Each service has its own list versions, so the whole list is requested. The known list stays in use
        until that has arrived.
        """
        if address != self.address:
            log.info(
                "discovery moves", extra={"to": f"{address[0]}:{address[1]}", "seq": self.upstreams.version}
            )
            self.address = address
            self.require_list_by(self.clock() + SERVICE_MOVE_DEADLINE_NS)
            self.request_whole_list()

    def require_list_by(self, due_at: int) -> None:
        """Sets when the list is due, unless an earlier time that has not passed is set already."""
        if self.list_due_at is None or not self.clock() < self.list_due_at < due_at:
            self.list_due_at = due_at

    def request_whole_list(self) -> None:
        """Requests the whole list: changes alone don't cover what was skipped, or zones and kinds renumbered.

        An open watch goes on until the list has arrived: a drain told on it meanwhile counts too.
        """
        self.needs_whole_list, self.answer_timeout = True, ANSWER_TIMEOUT_NS
        if (connection := self.current) is not None:
            self.current, self.following = None, False
            if self.previous is None and connection.version is not None:
                self.previous = connection
            else:
                self.close_connection(connection)
        self.follow()

    def close(self) -> None:
        """Closes all connections and opens no further ones."""
        for connection in (self.current, self.previous):
            if connection is not None:
                self.close_connection(connection)
        self.current = self.previous = None
        self.following = False

    def has_unread_updates(self) -> bool:
        """Whether a connection has unread data, has ended or has failed."""
        for connection in (self.current, self.previous):
            if connection is not None and connection.sock.fileno() >= 0 and connection.protocol.request_sent:
                try:
                    connection.sock.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    continue
                except OSError:
                    pass
                return True
        return False

    def has_unapplied_updates(self) -> bool:
        """Whether listings that were read are not applied yet."""
        return any(
            connection is not None and connection.has_unapplied
            for connection in (self.current, self.previous)
        )

    # -- one connection

    def close_connection(self, connection: WatchConnection) -> None:
        if connection.task is not None:
            self.loop.close(connection.task)

    def run_connection(self, connection: WatchConnection) -> Coroutine:
        """Runs the watch and reports its end, whatever the error: without the report nothing would retry."""
        failure: Exception
        try:
            try:
                yield from self.watch(connection)
            finally:
                close(self.loop, connection.sock)
        except Exception as error:
            failure = error
        self.handle_failure(connection, failure)

    def handle_failure(self, connection: WatchConnection | None, failure: Exception) -> None:
        """`connection`: None if its socket could not be created."""
        if isinstance(failure, WatchError | OSError):
            name = "previous watch" if self.is_previous(connection) else "watch"
            fields = {"reason": str(failure), "seq": self.upstreams.version, "unheard_ms": self.unheard_ms()}
            log.warning(f"{name} of the upstream list ended", extra=fields)
        else:
            log.error("unexpected error in a watch of the upstream list", exc_info=failure)
        if self.is_previous(connection):
            self.previous = None
            return
        if isinstance(failure, InvalidListing):
            self.needs_whole_list = True
        if connection is not None and connection.last_received_at:
            self.require_list_by(connection.last_received_at + MISSED_CHANGES_DEADLINE_NS)
        self.failures += 1
        self.current, self.following = None, False
        remaining = self.list_due_at - self.clock() if self.list_due_at is not None else 0
        self.on_failure(remaining if remaining > 0 else None)

    def unheard_ms(self) -> int:
        """Milliseconds since the last data from discovery."""
        return (self.clock() - self.last_heard_at) // MILLISECOND

    def is_previous(self, connection: WatchConnection | None) -> bool:
        return connection is not None and connection is self.previous

    def watch(self, connection: WatchConnection) -> Generator[Wait, int, None]:
        """Requests the list, then reads changes; returns only by an exception."""
        connection.read_timeout = self.answer_timeout
        protocol, deadline = connection.protocol, self.clock() + connection.read_timeout
        self.answer_timeout = min(2 * self.answer_timeout, MAX_ANSWER_TIMEOUT_NS)  # reset by the next listing
        if not (yield from connect(self.loop, connection.sock, connection.address, deadline)):
            raise WatchError("connecting to discovery timed out")
        while connection.version is None:
            yield from self.send_request(connection, "/api/targets", deadline)
            while not protocol.response_complete:
                yield from self.receive(connection, deadline)
        yield from self.send_request(connection, f"/api/targets?watch=1&after={connection.version}", deadline)
        while not protocol.response_complete:
            yield from self.receive(connection, deadline)
            connection.last_received_at = self.last_heard_at = self.clock()
            deadline = connection.last_received_at + WATCH_SILENCE_TIMEOUT_NS
        raise WatchError("discovery ended the watch")

    def send_request(
        self, connection: WatchConnection, target: str, deadline: int
    ) -> Generator[Wait, int, None]:
        if not (yield from write(connection.sock, connection.protocol.serialize_request(target), deadline)):
            raise WatchError("sending the request to discovery timed out")

    def receive(self, connection: WatchConnection, deadline: int) -> Generator[Wait, int, None]:
        """Reads once and handles the values that became complete.

        While a value is incomplete, its own deadlines replace `deadline`: a long list may take its time, but
        one that never ends must not keep the watch alive.
        """
        if connection.value_started_at:
            deadline = min(
                self.clock() + connection.read_timeout, connection.value_started_at + LIST_TIMEOUT_NS
            )
        data = yield from read(connection.sock, deadline)
        if data is None:
            raise WatchError(
                "discovery sent nothing in time"
                if not connection.value_started_at
                else "a list was incomplete"
            )
        values = connection.protocol.feed(data)
        yield from self.handle_read(connection, values)

    def handle_read(self, connection: WatchConnection, values: list[bytes]) -> Generator[Wait, int, None]:
        """Handles the values of one read, also those still to be parsed, in as many turns as needed."""
        protocol = connection.protocol
        started_at = connection.value_started_at or self.clock()
        any_complete = bool(values)
        while True:
            batch, values = values[:MAX_LISTINGS_PER_TURN], values[MAX_LISTINGS_PER_TURN:]
            connection.has_unapplied = bool(values) or protocol.unfinished
            if batch:
                self.handle_values(connection, batch)
            if not connection.has_unapplied:
                break
            yield NEXT_TURN
            if not values:
                values = protocol.parse()
                any_complete = any_complete or bool(values)
        connection.value_started_at = started_at if protocol.value_started and not any_complete else 0

    def handle_values(self, connection: WatchConnection, values: Sequence[bytes]) -> None:
        """Applies several listings in one step.

        Raises `InvalidListing` for a value that can't be read or whose version went back, once the listings
        before it have been applied; the whole list is requested after that.
        """
        listings: list[Listing] = []
        try:
            for value in values:
                listings.append(self.parse_listing(connection, value))
        finally:
            if listings:
                self.handle_listings(connection, listings)

    def parse_listing(self, connection: WatchConnection, value: bytes) -> Listing:
        try:
            listing = decode_listing(value)
        except msgspec.MsgspecError as error:
            raise InvalidListing(f"discovery sent an invalid list: {error}") from error
        if not listing.whole and connection.version is None:
            raise InvalidListing("discovery sent changes in place of the whole list")
        if not listing.whole and connection.version is not None and listing.seq < connection.version:
            raise InvalidListing(f"list version went back from {connection.version} to {listing.seq}")
        connection.version = listing.seq
        return listing

    def handle_listings(self, connection: WatchConnection, listings: Sequence[Listing]) -> None:
        if not self.is_previous(connection):
            self.answer_timeout, self.needs_whole_list, self.list_due_at = ANSWER_TIMEOUT_NS, False, None
            if self.previous is not None:
                self.close_connection(self.previous)
                self.previous = None
        if self.failures:
            fields = {"seq": listings[-1].seq, "failures": self.failures, "unheard_ms": self.unheard_ms()}
            log.info("upstream list received again after failures", extra=fields)
        self.failures = 0
        self.on_listings(listings)
