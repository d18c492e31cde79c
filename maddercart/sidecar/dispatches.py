"""Sends one dispatch: a query goes out on one connection, which comes to exactly one ending."""

import logging
from collections.abc import Callable, Generator

from maddercart.http.upstream import Malformed, WholeAnswer
from maddercart.interface import MILLISECOND
from maddercart.messages.answer import Answer, read_answer
from maddercart.messages.query import Query
from maddercart.net.loop import Wait
from maddercart.net.sockets import OUR_LACK, connect, read, write
from maddercart.sidecar.endings import Ending, ending_of_status
from maddercart.sidecar.pool import Address, Connection, ConnectionPool

log = logging.getLogger(__name__)

DispatchResult = tuple[Ending, Answer | None]  # the answer is None unless a whole one came


class Dispatcher:
    # Age of the loop's last poll above which discovery is checked for unread updates before a send. Less is
    # within the delay of the list itself.
    LOOKED = 5 * MILLISECOND

    def __init__(
        self, pool: ConnectionPool, clock: Callable[[], int], may_send: Callable[[int, Address], bool],
        classify: Callable[[int, bool], Ending] = ending_of_status,
    ) -> None:  # fmt: skip
        """`may_send` tells whether an upstream may get a new query at an address, by the list as known now.
        `classify` gives the ending for an answer's status and whether the answer says that it never ran."""
        self.pool, self.clock, self.may_send, self.classify = pool, clock, may_send, classify
        self.news: Callable[[], bool] = lambda: False  # whether discovery has sent something not read yet
        self.connect_timeout = 0
        self.body_bytes = self.max_body_bytes = 0  # of partly received answers, all together, and the limit

    def send(
        self, query: Query, upstream: int, address: Address | None, deadline: int,
        may_begin: Callable[[], bool],
    ) -> Generator[Wait, int, DispatchResult]:  # fmt: skip
        """Sends the query once and never retries. `may_begin` is asked before the first byte whether it may
        still be written. The connection is closed or idle in the pool before the result is returned, so that
        nothing is on the wire beside the next attempt."""
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
            while (
                self.clock() - self.pool.loop.looked > self.LOOKED and self.news() and self.clock() < deadline
            ):
                yield Wait(until=self.clock())
            if not (may_begin() and self.may_send(upstream, address)):
                return Ending.WITHDRAWN, None
            ending = yield from self.write_request(connection, query, deadline)
            if ending is not None:
                return ending, None
            ending, whole_answer = yield from self.receive_answer(connection, deadline)
            if whole_answer is None:
                was_kept = ending == Ending.BROKE_WRITTEN and not (is_new or connection.protocol.begun)
                return (Ending.BROKE_KEPT if was_kept else ending), None
            keep = connection.protocol.reuse()
            answer = read_answer(*whole_answer)
            return self.classify(answer.status, answer.never_ran), answer
        finally:
            if keep:
                self.pool.put_back(connection)
            else:
                self.pool.close(connection)

    def connect_upstream(self, connection: Connection, deadline: int) -> Generator[Wait, int, Ending | None]:
        """None once the connection is up, otherwise how it ended."""
        connect_deadline = min(deadline, self.clock() + self.connect_timeout)
        try:
            up = yield from connect(self.pool.loop, connection.sock, connection.address, connect_deadline)
        except OSError as error:
            return Ending.NO_DESCRIPTOR if error.errno in OUR_LACK else Ending.REFUSED
        return None if up else Ending.NEVER_CAME_UP

    def write_request(
        self, connection: Connection, query: Query, deadline: int
    ) -> Generator[Wait, int, Ending | None]:
        """None once the last byte is written, otherwise how the connection ended."""
        headers = query.headers_for(deadline - self.clock())
        data = connection.protocol.request(query.method, query.target, headers, query.body)
        try:
            written = yield from write(connection.sock, data, deadline)
        except OSError:
            return Ending.BROKE_UNWRITTEN
        return None if written else Ending.TIME_UP_UNWRITTEN

    def receive_answer(
        self, connection: Connection, deadline: int
    ) -> Generator[Wait, int, tuple[Ending, WholeAnswer | None]]:
        counted = 0  # bytes of this answer that are in `body_bytes`
        try:
            while True:
                data = yield from read(connection.sock, deadline)
                if data is None:
                    return Ending.TIME_UP, None
                if (whole_answer := connection.protocol.feed(data)) is not None:
                    return Ending.ANSWERED, whole_answer
                if not data:
                    return Ending.BROKE_WRITTEN, None
                self.body_bytes, counted = (
                    self.body_bytes + connection.protocol.held - counted, connection.protocol.held
                )  # fmt: skip
                if self.body_bytes > self.max_body_bytes:  # many large bodies must not exhaust memory
                    raise Malformed("the bodies being received exceed the memory limit")
        except OSError:
            return Ending.BROKE_WRITTEN, None
        except Malformed as error:
            log.debug("malformed answer", extra={"upstream": connection.upstream, "reason": str(error)})
            return (Ending.MALFORMED if data else Ending.BROKE_WRITTEN), None
        finally:
            self.body_bytes -= counted
