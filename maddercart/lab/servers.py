"""A simulated server: cores, a bounded queue, cold start, connections and load reports.

Times are whole nanoseconds of simulated time.
"""

from collections import deque
from typing import TYPE_CHECKING, Any

from maddercart.interface import DONE, FAILED, GONE, MILLISECOND, READY, REJECTED, RESET, SECOND, Report
from maddercart.lab.scenario import Kind, Scenario

if TYPE_CHECKING:
    from maddercart.lab.sidecars import Dispatch
    from maddercart.lab.world import World

# Fractional part of the golden ratio: spreads the one draw of a query evenly over its dispatches.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class Server:
    """Runs up to `cores` queries at once, first come, first served, and queues up to `queue_capacity` more.

    Its attributes are the true state; policies learn of it only from answers, reports and the server list.
    """

    def __init__(self, world: "World", number: int, zone: int, cell: int, kind: int, machine: Kind) -> None:
        scenario: Scenario = world.scenario
        self.world, self.engine, self.number, self.zone, self.cell, self.kind = (
            world,
            world.engine,
            number,
            zone,
            cell,
            kind,
        )
        self.cores, self.queue_capacity, self.speed, self.size = (
            machine.cores,
            machine.room,
            machine.speed,
            machine.size,
        )
        self.cold_settings, self.settings = scenario.cold, scenario.servers
        self.ramp_ns = round(self.cold_settings.ramp * SECOND)
        self.refusal_ns = round(self.settings.refusal_ms * MILLISECOND)
        self.condition = READY  # as published in the server list
        self.started_cold_at = -(1 << 60)  # when it started cold; this value: fully warm
        self.incarnation = 0  # counts the restarts of its process
        # Whether the process runs; whether it answers nothing; whether its zone is partitioned.
        self.up, self.silent, self.partitioned = True, False, False
        # Factor on the time that work takes; share of the queries that fail.
        self.slowdown, self.failure_share = 1.0, 0.0
        self.crowd_from, self.crowd_cost = self.settings.crowd_from, self.settings.crowd_cost
        self.queue: deque[Dispatch] = deque()
        self.running: dict[Dispatch, None] = {}
        self.connections = 0
        self.report_max_age_ns = round(self.settings.report_age * SECOND)
        self.report_made_at, self.last_report = -(1 << 60), Report(0.0, 0.0, -1, -1.0)
        # For the check of Little's law: the time integral of the number of queries held, when that number
        # last changed, and the total time that departed queries spent here. Then statistics of the queue.
        (
            self.occupancy_integral_ns,
            self.occupancy_changed_at,
            self.total_sojourn_ns,
            self.admitted_count,
            self.total_wait_ns,
            self.started_count,
        ) = 0, 0, 0, 0, 0, 0
        # Dispatches in flight to it or held, and their work in ns: read by the "bound" policy.
        self.assigned_count, self.assigned_work_ns = 0, 0

    # -- capacity and state

    def warm_fraction(self, now: int) -> float:
        """Its capacity as a fraction of that of a warm server."""
        age = now - self.started_cold_at
        if age >= self.ramp_ns:
            return 1.0
        return self.cold_settings.start + (1 - self.cold_settings.start) * max(0, age) / self.ramp_ns

    def work_rate(self, now: int) -> float:
        """Work done per nanosecond on one core, without the effect of crowding."""
        connection_share = min(0.9, self.connections * self.settings.connection_cost / self.cores)
        return self.speed * self.warm_fraction(now) * (1 - connection_share) / self.slowdown

    def held_count(self) -> int:
        return len(self.queue) + len(self.running)

    def reachable(self) -> bool:
        return self.up and not self.silent and not self.partitioned

    def update_occupancy(self) -> None:
        """Updates the time integral of the number of queries held; called before that number changes."""
        now = self.engine.now
        self.occupancy_integral_ns += (now - self.occupancy_changed_at) * (
            len(self.queue) + len(self.running)
        )
        self.occupancy_changed_at = now

    # -- events

    def receive(self, dispatch: "Dispatch") -> None:
        now, world = self.engine.now, self.world
        if self.partitioned or self.silent:
            return  # no reply ever arrives
        if not self.up or dispatch.server_incarnation != self.incarnation:
            return self.reply(dispatch, RESET)
        if now - self.started_cold_at < self.ramp_ns:
            capacity = world.cold_capacity(self, now)
            world.referee.record_cold_arrival(
                now, self.number, dispatch.query.work_ns, capacity, dispatch.query.number
            )
        if (
            self.failure_share
            and (dispatch.query.failure_draw + dispatch.shot * GOLDEN_RATIO_FRACTION) % 1 < self.failure_share
        ):
            # half of the failing queries run before they fail
            if (dispatch.query.failure_draw * 7919) % 1 < 0.5:
                world.begin_execution(self, dispatch)
            return self.engine.schedule(
                now + self.refusal_ns, self.send_failure, (dispatch, FAILED, self.incarnation)
            )
        if len(self.running) >= self.cores and len(self.queue) >= self.queue_capacity:
            return self.engine.schedule(
                now + self.refusal_ns, self.send_failure, (dispatch, REJECTED, self.incarnation)
            )
        self.update_occupancy()
        self.admitted_count += 1
        dispatch.arrived_at = now
        if len(self.running) < self.cores:
            self.start(dispatch)
        else:
            self.queue.append(dispatch)

    def start(self, dispatch: "Dispatch") -> None:
        now = self.engine.now
        self.running[dispatch] = None
        self.started_count += 1
        self.total_wait_ns += now - dispatch.arrived_at
        # A dropped repeat costs only the lookup of its key.
        work = dispatch.query.work_ns if self.world.begin_execution(self, dispatch) else MILLISECOND
        crowding = 1 + self.crowd_cost * max(0.0, self.held_count() / self.cores - self.crowd_from)
        duration = int(work * crowding / self.work_rate(now))
        self.engine.schedule(now + duration, self.finish, (dispatch, self.incarnation))

    def finish(self, arguments: tuple["Dispatch", int]) -> None:
        dispatch, incarnation = arguments
        if incarnation != self.incarnation:
            return  # the process ended in the meantime
        self.remove_running(dispatch)
        if not self.silent:
            self.reply(dispatch, DONE)

    def send_failure(self, arguments: tuple["Dispatch", int, int]) -> None:
        dispatch, outcome, incarnation = arguments
        self.reply(dispatch, outcome if incarnation == self.incarnation else RESET)

    def cancel(self, dispatch: "Dispatch") -> None:
        """Handles a closed connection: a running query runs to its end, a queued one is removed."""
        if dispatch.arrived_at and dispatch in self.queue and not self.partitioned:
            self.update_occupancy()
            self.total_sojourn_ns += self.engine.now - dispatch.arrived_at
            self.queue.remove(dispatch)

    def remove_running(self, dispatch: "Dispatch") -> None:
        self.update_occupancy()
        self.total_sojourn_ns += self.engine.now - dispatch.arrived_at
        del self.running[dispatch]
        if self.queue:
            self.start(self.queue.popleft())

    def reply(self, dispatch: "Dispatch", outcome: int) -> None:
        if self.partitioned:
            return
        dispatch.report = (
            self.current_report() if self.settings.reports and outcome in (DONE, FAILED, REJECTED) else None
        )
        dispatch.outcome = outcome
        sidecar = dispatch.sidecar
        self.engine.schedule(
            self.engine.now + self.world.network.delay(self.zone, sidecar.zone),
            sidecar.receive_reply,
            dispatch,
        )

    def current_report(self) -> Report:
        """The last load report, made anew if it is older than the maximum age."""
        now = self.engine.now
        if now - self.report_made_at >= self.report_max_age_ns:
            noise_factor = next(self.world.report_noise)
            self.report_made_at = now
            self.last_report = Report(
                self.held_count() * noise_factor, len(self.queue) * noise_factor, -1, -1.0
            )
        return self.last_report

    def crash(self) -> None:
        """Ends the process: each query held gets a connection reset, unless the zone is partitioned."""
        self.update_occupancy()
        interrupted: list[Any] = [*self.running, *self.queue]
        self.total_sojourn_ns += sum(self.engine.now - dispatch.arrived_at for dispatch in interrupted)
        self.running.clear()
        self.queue.clear()
        self.up, self.incarnation, self.connections = False, self.incarnation + 1, 0
        for dispatch in interrupted:
            self.reply(dispatch, RESET)

    def boot(self, cold: bool) -> None:
        """Starts a process, cold or fully warm."""
        self.up, self.condition = True, READY
        self.started_cold_at = self.engine.now if cold else -(1 << 60)
        self.report_made_at = -(1 << 60)

    def shut_down(self) -> None:
        if self.up:
            self.crash()
        self.condition = GONE
