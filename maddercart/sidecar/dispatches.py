"""Sends one dispatch: a query goes out on one connection, which comes to exactly one ending."""

import logging
from collections.abc import Callable, Generator
from enum import Enum, auto

from maddercart.http.client import MalformedResponse, Response
from maddercart.interface import MILLISECOND
from maddercart.messages.query import Query
from maddercart.messages.responses import UpstreamResponse, parse_response
from maddercart.net.loop import NEXT_TURN, Wait
from maddercart.net.sockets import LOCAL_RESOURCE_ERRNOS, READ_SIZE_BYTES, connect, read, write
from maddercart.sidecar.connection_pool import Address, Connection, ConnectionPool
from maddercart.sidecar.endings import Ending, ending_of_status
from maddercart.sidecar.memory import (
    ANSWER_SHARE,
    BODY_COPIES,
    MemoryAccount,
    MemoryLedger,
    MemoryUse,
    wait_for_room,
)

log = logging.getLogger(__name__)

DispatchResult = tuple[Ending, UpstreamResponse | None]  # the answer is None unless a whole one came


class WritePermission(Enum):
    """Whether the first byte of a dispatch may be written."""

    GRANTED = auto()
    DENIED = auto()
    UNDECIDED = auto()  # to be asked again in the next turn of the loop


class Dispatcher:
    # Age of the loop's last poll above which discovery is checked for unread updates before a send. Less is
    # within the delay of the list itself.
    MAX_POLL_AGE_NS = 5 * MILLISECOND

    def __init__(
        self, pool: ConnectionPool, clock: Callable[[], int], may_send: Callable[[int, Address], bool],
        ledger: MemoryLedger, classify: Callable[[int, bool], Ending] = ending_of_status,
    ) -> None:  # fmt: skip
        """`may_send` tells whether an upstream may get a new query at an address, by the list as known now.
        `classify` gives the ending for an answer's status and whether the answer says that it never ran."""
        self.pool, self.clock, self.may_send, self.classify = pool, clock, may_send, classify
        # Whether discovery has sent something that is not read yet, or was read and is not applied yet.
        self.has_unread_updates: Callable[[], bool] = lambda: False
        self.has_unapplied_updates: Callable[[], bool] = lambda: False
        self.connect_timeout_ns = 0
        self.ledger = ledger

    def send(
        self, query: Query, upstream: int, address: Address | None, deadline: int,
        may_write: Callable[[], WritePermission],
    ) -> Generator[Wait, int, DispatchResult]:  # fmt: skip
        """Sends the query once and never retries. `may_write` is asked before the first byte whether it may
        be written; while that is undecided the dispatch waits, until its deadline at most. The connection is
        closed or idle in the pool before the result is returned, so that nothing is on the wire beside the
        next attempt."""
        if address is None:
            return Ending.NO_ADDRESS, None
        connection, keep = self.pool.take_idle(upstream, address), False
        is_new = connection is None
        if connection is None and (connection := self.pool.open(upstream, address)) is None:
            return Ending.NO_DESCRIPTOR, None
        try:
            if is_new and (ending := (yield from self.connect_upstream(connection, deadline))) is not None:
                return ending, None
            # A drain may have been announced while the connection came up, which took up to 250 ms: what
            # counts is the first byte written, not the choice of the upstream. In a long turn of the loop,
            # as with a small share of a core, the list may also have changed since the last poll.
            permission = WritePermission.UNDECIDED
            while self.list_may_be_outdated() or (permission := may_write()) == WritePermission.UNDECIDED:
                if self.clock() >= deadline:
                    return Ending.WITHDRAWN, None
                yield NEXT_TURN
            if permission == WritePermission.DENIED or not self.may_send(upstream, address):
                return Ending.WITHDRAWN, None
            ending = yield from self.write_request(connection, query, deadline)
            if ending is not None:
                return ending, None
            ending, whole_answer = yield from self.receive_answer(connection, deadline)
            if whole_answer is None:
                was_kept = ending == Ending.BROKE_WRITTEN and not (
                    is_new or connection.protocol.response_started
                )
                return (Ending.BROKE_KEPT if was_kept else ending), None
            keep = connection.protocol.prepare_reuse()
            answer = parse_response(*whole_answer)
            return self.classify(answer.status, answer.never_ran), answer
        finally:
            if keep:
                self.pool.put_back(connection)
            else:
                self.pool.close(connection)

    def list_may_be_outdated(self) -> bool:
        """Whether discovery has told changes that are not applied yet."""
        poll_age = self.clock() - self.pool.loop.polled_at
        return self.has_unapplied_updates() or (poll_age > self.MAX_POLL_AGE_NS and self.has_unread_updates())

    def connect_upstream(self, connection: Connection, deadline: int) -> Generator[Wait, int, Ending | None]:
        """None once the connection is up, otherwise how it ended."""
        connect_deadline = min(deadline, self.clock() + self.connect_timeout_ns)
        try:
            up = yield from connect(self.pool.loop, connection.sock, connection.address, connect_deadline)
        except OSError as error:
            return Ending.NO_DESCRIPTOR if error.errno in LOCAL_RESOURCE_ERRNOS else Ending.REFUSED
        return None if up else Ending.NEVER_CAME_UP

    def write_request(
        self, connection: Connection, query: Query, deadline: int
    ) -> Generator[Wait, int, Ending | None]:
        """None once the last byte is written, otherwise how the connection ended."""
        headers = query.headers_for(deadline - self.clock())
        data = connection.protocol.serialize_request(query.method, query.target, headers, query.body)
        try:
            written = yield from write(connection.sock, data, deadline)
        except OSError:
            return Ending.BROKE_UNWRITTEN
        return None if written else Ending.TIME_UP_UNWRITTEN

    def receive_answer(
        self, connection: Connection, deadline: int
    ) -> Generator[Wait, int, tuple[Ending, Response | None]]:
        account = MemoryAccount(self.ledger)
        try:
            while True:
                data = yield from self.read_answer(connection, account, deadline)
                if data is None:
                    return Ending.TIME_UP, None
                at_end = not data
                whole_answer = connection.protocol.feed(data)
                del data  # not held a second time while more is awaited
                while whole_answer is None and connection.protocol.unfinished:
                    yield NEXT_TURN
                    if self.clock() >= deadline:
                        return Ending.TIME_UP, None
                    whole_answer = connection.protocol.parse()
                if whole_answer is not None:
                    return Ending.ANSWERED, whole_answer
                if at_end:
                    return Ending.BROKE_WRITTEN, None
                account.hold(MemoryUse.ANSWERS, BODY_COPIES * connection.protocol.received_bytes)
        except OSError:
            return Ending.BROKE_WRITTEN, None
        except MalformedResponse as error:
            log.debug("malformed answer", extra={"upstream": connection.upstream, "reason": str(error)})
            return (Ending.BROKE_WRITTEN if at_end else Ending.MALFORMED), None
        finally:
            account.close()

    def read_answer(
        self, connection: Connection, account: MemoryAccount, deadline: int
    ) -> Generator[Wait, int, bytes | None]:
        """A part of an answer, once there is memory for it; as `read`."""
        while not (readable := account.readable_bytes(MemoryUse.ANSWERS, ANSWER_SHARE, READ_SIZE_BYTES)):
            if self.clock() >= deadline:
                return None
            self.ledger.relieve()
            yield wait_for_room(self.clock, deadline)
        return (yield from read(connection.sock, deadline, readable))
