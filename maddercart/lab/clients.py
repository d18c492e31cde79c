"""Simulated clients: they send queries, retry after failures and give up when their patience ends.

Times are whole nanoseconds of simulated time. A wish is what a client wants; each try at it is a query.
"""

from typing import TYPE_CHECKING

from maddercart.interface import REDOABLE, SECOND
from maddercart.lab.scenario import Scenario
from maddercart.lab.sidecars import Query
from maddercart.lab.streams import random_stream, uniforms
from maddercart.lab.workload import Workload

if TYPE_CHECKING:
    from collections.abc import Iterator

    from maddercart.lab.world import World

    Row = tuple[int, int, int, int, int, int, float]  # wish, arrival, sidecar, offering, tenant, work, luck

ROWS_PER_BLOCK = 4096  # rows of the workload converted to Python numbers at once


class Clients:
    """Sends the queries of a workload and retries them as the scenario's `clients` settings say.

    A retry goes to the same sidecar. An aborted query is retried only if its effect is redoable: any other
    effect could take place twice.
    """

    def __init__(self, world: "World", scenario: Scenario, workload: Workload, seed: int) -> None:
        self.world, self.engine, self.workload, self.settings = (
            world,
            world.engine,
            workload,
            scenario.clients,
        )
        self.patience_ns = round(self.settings.patience * SECOND)
        self.retry_delay_ns = round(self.settings.wait * SECOND)
        self.retry_jitter = uniforms(random_stream(seed, "retries"))
        self.ignores_retry_after = (
            random_stream(seed, "deaf").random(len(workload)) < self.settings.deaf
            if self.settings.deaf
            else None
        )
        self.hard_stops_ns = [round(terms.stop * SECOND) for terms in scenario.offerings]
        self.effects = [terms.effect for terms in world.offerings]
        self.query_count = 0  # including retries
        self.rows = self.read_rows()
        self.schedule_next_arrival()

    def read_rows(self) -> "Iterator[Row]":
        workload = self.workload
        for start in range(0, len(workload), ROWS_PER_BLOCK):
            end = min(len(workload), start + ROWS_PER_BLOCK)
            columns = (
                workload.arrival_ns,
                workload.sidecar,
                workload.offering,
                workload.tenant,
                workload.work_ns,
                workload.failure_draw,
            )
            yield from zip(
                range(start, end), *(column[start:end].tolist() for column in columns), strict=True
            )

    def schedule_next_arrival(self) -> None:
        """Schedules one arrival at a time: a million of them in the event queue would slow it down."""
        if (row := next(self.rows, None)) is not None:
            self.engine.schedule(row[1], self.arrive, row)

    def arrive(self, row: "Row") -> None:
        wish, arrival, sidecar_number, offering, tenant, work, luck = row
        self.schedule_next_arrival()
        self.world.meter.wish_started(wish)
        self.send_query(wish, sidecar_number, offering, tenant, work, luck, arrival, 1)

    def send_query(
        self,
        wish: int,
        sidecar_number: int,
        offering: int,
        tenant: int,
        work: int,
        luck: float,
        first: int,
        try_number: int,
    ) -> None:
        now, sidecar = self.engine.now, self.world.sidecars[sidecar_number]
        self.query_count += 1
        hard_stop_at = now + self.hard_stops_ns[offering]
        query = Query(
            self.query_count,
            wish,
            sidecar,
            offering,
            tenant,
            work,
            luck,
            now,
            hard_stop_at,
            first,
            try_number,
        )
        self.world.meter.query_sent(now, sidecar.zone, try_number)
        if self.world.story is not None:
            self.world.story.query_sent(now, query)
        if first + self.patience_ns < hard_stop_at:
            self.engine.schedule(max(now, first + self.patience_ns), self.give_up, query)
        else:
            self.engine.schedule(hard_stop_at + 1, self.hard_stop_passed, query)
        sidecar.receive_query(query)

    def give_up(self, query: Query) -> None:
        if not query.finished:
            query.finished = True
            self.world.meter.wish_ended(query, "left", self.engine.now)
            query.sidecar.client_left(query)

    def hard_stop_passed(self, query: Query) -> None:
        """Ends a query without an answer by its hard stop, which only a pause of its sidecar excuses."""
        if not query.finished:
            query.finished = True
            self.world.meter.wish_ended(query, "unanswered", self.engine.now)

    def connection_lost(self, query: Query) -> None:
        """Handles the loss of a query by a restart of its sidecar."""
        if not query.finished:
            query.finished = True
            self.retry_or_end(query, "lost", 0)

    def receive_answer(self, query: Query, outcome: str, retry_after: int) -> None:
        """Handles the final answer: "done", "bounce" or "abort"; `retry_after` is 0 except for a bounce."""
        if query.finished:
            return
        query.finished = True
        if outcome == "done":
            self.world.meter.wish_ended(query, "done", self.engine.now)
        else:
            self.retry_or_end(query, outcome, retry_after)

    def retry_or_end(self, query: Query, outcome: str, retry_after: int) -> None:
        """Schedules a retry if the client's settings and the query's effect allow one; else ends the wish."""
        now, mode = self.engine.now, self.settings.retry
        if (
            mode == "none"
            or query.try_number >= self.settings.tries
            or (outcome != "bounce" and self.effects[query.offering] != REDOABLE)
        ):
            return self.world.meter.wish_ended(query, outcome, now)
        delay = int(self.retry_delay_ns * (0.5 + next(self.retry_jitter)))
        if mode == "at_once":
            delay = 0
        elif (
            mode == "honour"
            and outcome == "bounce"
            and not (self.ignores_retry_after is not None and self.ignores_retry_after[query.wish])
        ):
            delay = retry_after
        if now + delay >= query.first_try_at + self.patience_ns:
            return self.world.meter.wish_ended(query, outcome, now)
        self.engine.schedule(now + delay, self.retry, query)

    def retry(self, query: Query) -> None:
        self.send_query(
            query.wish,
            query.sidecar.number,
            query.offering,
            query.tenant,
            query.work_ns,
            query.failure_draw,
            query.first_try_at,
            query.try_number + 1,
        )
