"""One dispatch: a query goes out on one connection, and that connection comes to one ending."""

import logging
from collections.abc import Callable, Generator

from maddercart.http.upstream import Malformed, WholeAnswer
from maddercart.interface import MILLISECOND
from maddercart.messages.answer import Answer, read_answer
from maddercart.messages.query import Query
from maddercart.net.loop import Wait
from maddercart.net.sockets import OUR_LACK, connect, read, write
from maddercart.sidecar.endings import Ending, of_status
from maddercart.sidecar.pool import Address, Connection, Pool

log = logging.getLogger(__name__)

Ended = tuple[Ending, Answer | None]


class Dispatcher:
    LOOKED = 5 * MILLISECOND  # ago: less is within what the list itself is late by

    def __init__(
        self, pool: Pool, clock: Callable[[], int], may_send: Callable[[int, Address], bool],
        meaning: Callable[[int, bool], Ending] = of_status,
    ) -> None:  # fmt: skip
        """`may_send` tells whether an upstream may get something new at an address, by all that was told up
        to now; `meaning` an answer's ending from its status and whether it says that it never ran."""
        self.pool, self.clock, self.may_send, self.meaning = pool, clock, may_send, meaning
        self.news: Callable[[], bool] = lambda: False  # told already, but not read yet
        self.connect_timeout = 0
        self.bodies = self.most_bodies = 0  # bytes of answers that have come in part, and how many may

    def send(
        self, query: Query, upstream: int, dial: Address | None, until: int, begin: Callable[[], bool]
    ) -> Generator[Wait, int, Ended]:
        """Sends it once and never again by itself; `begin` says ahead of its first byte whether it still
        may. However it ends, its connection is closed or at rest before that is told, so that nothing goes
        out beside it."""
        if dial is None:
            return Ending.NO_ADDRESS, None
        connection, keep = self.pool.take(upstream, dial), False
        fresh = connection is None
        if connection is None and (connection := self.pool.open(upstream, dial)) is None:
            return Ending.NO_DESCRIPTOR, None
        try:
            if fresh and (ending := (yield from self.bring_up(connection, until))) is not None:
                return ending, None
            # Guards against a drain that was told while the connection came up: a send counts from its first
            # byte, not from the choice, and 250 ms lay between them.
            # In a long turn, as with little of a core, the list may have changed since the look.
            while self.clock() - self.pool.loop.looked > self.LOOKED and self.news() and self.clock() < until:
                yield Wait(until=self.clock())
            if not (begin() and self.may_send(upstream, dial)):
                return Ending.WITHDRAWN, None
            ending = yield from self.write(connection, query, until)
            if ending is not None:
                return ending, None
            ending, whole = yield from self.read(connection, until)
            if whole is None:
                kept = ending == Ending.BROKE_WRITTEN and not (fresh or connection.side.begun)
                return (Ending.BROKE_KEPT if kept else ending), None
            keep = connection.side.reuse()
            answer = read_answer(*whole)
            return self.meaning(answer.status, answer.never_ran), answer
        finally:
            if keep:
                self.pool.put(connection)
            else:
                self.pool.close(connection)

    def bring_up(self, connection: Connection, until: int) -> Generator[Wait, int, Ending | None]:
        within = min(until, self.clock() + self.connect_timeout)
        try:
            up = yield from connect(self.pool.loop, connection.sock, connection.dial, within)
        except OSError as error:
            return Ending.NO_DESCRIPTOR if error.errno in OUR_LACK else Ending.REFUSED
        return None if up else Ending.NEVER_CAME_UP

    def write(self, connection: Connection, query: Query, until: int) -> Generator[Wait, int, Ending | None]:
        headers = query.headers_for(until - self.clock())
        data = connection.side.request(query.method, query.target, headers, query.body)
        try:
            written = yield from write(connection.sock, data, until)
        except OSError:
            return Ending.BROKE_UNWRITTEN
        return None if written else Ending.TIME_UP_UNWRITTEN

    def read(
        self, connection: Connection, until: int
    ) -> Generator[Wait, int, tuple[Ending, WholeAnswer | None]]:
        held = 0
        try:
            while True:
                data = yield from read(connection.sock, until)
                if data is None:
                    return Ending.TIME_UP, None
                if (whole := connection.side.feed(data)) is not None:
                    return Ending.ANSWERED, whole
                if not data:
                    return Ending.BROKE_WRITTEN, None
                self.bodies, held = self.bodies + connection.side.held - held, connection.side.held
                if self.bodies > self.most_bodies:  # many large ones at once must not end the process
                    raise Malformed("there is no room for the body beside others")
        except OSError:
            return Ending.BROKE_WRITTEN, None
        except Malformed as error:
            log.debug("answer malformed", extra={"upstream": connection.upstream, "reason": str(error)})
            return (Ending.MALFORMED if data else Ending.BROKE_WRITTEN), None
        finally:
            self.bodies -= held
