"""A simulated fleet: plays one generated workload under one policy and collects the results.

Times are whole nanoseconds of simulated time unless stated otherwise.
"""

import gc
import resource
import time
from array import array
from collections import deque
from hashlib import blake2b
from typing import TYPE_CHECKING

from maddercart import interface as i
from maddercart.lab import workload as workloads
from maddercart.lab.clients import Clients
from maddercart.lab.discovery import DiscoveryService
from maddercart.lab.engine import Engine
from maddercart.lab.meter import STEP_SECONDS, Meter, Result, summarize
from maddercart.lab.network import Network
from maddercart.lab.policies import POLICIES
from maddercart.lab.referee import EffectRules, Referee
from maddercart.lab.scenario import Scenario, ScenarioError
from maddercart.lab.servers import Server
from maddercart.lab.sidecars import Dispatch, Policy, Sidecar
from maddercart.lab.streams import derive_seed, lognormal_factors, random_stream
from maddercart.lab.troubles import Troubles

if TYPE_CHECKING:
    from collections.abc import Callable

    from maddercart.lab.story import Story

EFFECT_BY_NAME = {"redoable": i.REDOABLE, "labelled": i.LABELLED, "irreversible": i.IRREVERSIBLE}
GROUP_BY_NAME = {"everywhere": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}
# The simulation runs on for this long after the last arrival, so that the queries still held can finish.
TAIL_SECONDS = 30.0


class ModelError(AssertionError):
    """The model's accounting is inconsistent, so the figures of the run are invalid."""


def build_offering(terms) -> i.Offering:  # type: ignore[no-untyped-def]
    return i.Offering(
        EFFECT_BY_NAME[terms.effect], GROUP_BY_NAME[terms.group], round(terms.window * i.SECOND),
        round(terms.agreed * i.SECOND), terms.earnings, terms.late_earnings,
    )  # fmt: skip


class World:
    """Wires together the servers, sidecars, clients, network, discovery and troubles of one run.

    `policy_factory`, if given, creates each sidecar's policy in place of the one named `policy`; tests of the
    referee use it. Raises ScenarioError for an unknown policy name.
    """

    def __init__(
        self, scenario: Scenario, seed: int, policy: str = "module", story: "Story | None" = None,
        policy_factory: "Callable[..., Policy] | None" = None,
    ) -> None:  # fmt: skip
        if policy not in POLICIES:
            raise ScenarioError(f"policy {policy!r} is none of {', '.join(POLICIES)}")
        self.scenario, self.seed, self.policy_name, self.story = scenario, seed, policy, story
        self.policy_factory = policy_factory or POLICIES[policy]
        self.engine = Engine()
        self.workload = workloads.generate_workload(scenario, seed)
        self.offerings = [build_offering(terms) for terms in scenario.offerings]
        self.network = Network(scenario, seed)
        self.report_noise = lognormal_factors(random_stream(seed, "reports"), scenario.servers.report_noise)
        self.meter = Meter(scenario, self.workload)
        self.servers = self.build_servers(seed)
        if story is not None:
            story.attach(self)
        self.referee = Referee(
            [
                EffectRules(terms.effect, terms.deduplication_scope, terms.deduplication_window_ns)
                for terms in self.offerings
            ],
            [(server.zone, server.cell) for server in self.servers],
            round(scenario.servers.grace * i.SECOND), scenario.cold.multiple,
            round(scenario.cold.window * i.SECOND),
        )  # fmt: skip
        self.dedupe_retention_ns = round(scenario.servers.remembers * i.SECOND)
        # Labelled queries that ran: when the record of (scope that drops repeats, wish) expires.
        self.dedupe_expiry: dict[tuple[int, int], int] = {}
        # The same records in order of expiry: (expiry, (scope, wish)).
        self.dedupe_queue: deque[tuple[int, tuple[int, int]]] = deque()
        # By cold server: (arrival, work in ns) of what the "bound" policy sent to it within the window.
        self.cold_work_sent: dict[int, deque[tuple[int, int]]] = {}
        # By cold server: samples of (seconds, fraction of its load limit).
        self.cold_loads: dict[int, list[tuple[float, float]]] = {}
        self.hasher = blake2b(digest_size=16)
        self.event_buffer = array("q")  # not yet hashed; four numbers an event: time, code, two arguments
        self.discovery = DiscoveryService(self, scenario, seed)
        self.sidecars: list[Sidecar] = []
        for zone, terms in enumerate(scenario.zones):
            for _ in range(terms.sidecars):
                self.sidecars.append(Sidecar(self, len(self.sidecars), zone))
        self.clients = Clients(self, scenario, self.workload, seed)
        self.troubles = Troubles(self, scenario, seed)

    def build_servers(self, seed: int) -> list[Server]:
        """Assigns kinds to servers by the kinds' shares, spread as evenly as possible within each zone."""
        servers: list[Server] = []
        total_share = sum(kind.share for kind in self.scenario.kinds)
        ramp_ns = round(self.scenario.cold.ramp * i.SECOND)
        for zone, terms in enumerate(self.scenario.zones):
            share_credits = [0.0] * len(self.scenario.kinds)
            for index in range(terms.servers):
                share_credits = [
                    credit + kind.share / total_share
                    for credit, kind in zip(share_credits, self.scenario.kinds, strict=True)
                ]
                kind = max(range(len(share_credits)), key=share_credits.__getitem__)
                share_credits[kind] -= 1
                cell = zone * 1000 + index % terms.cells
                servers.append(Server(self, len(servers), zone, cell, kind, self.scenario.kinds[kind]))
        draws = random_stream(seed, "cold")
        for server, draw in zip(servers, draws.random(len(servers)).tolist(), strict=True):
            if draw < self.scenario.cold.at_start:
                server.started_cold_at = -int(ramp_ns * draws.random())
        return servers

    def create_policy(self, sidecar: Sidecar) -> Policy:
        """Returns a new policy for a starting sidecar; each incarnation draws other random numbers."""
        scenario, terms = self.scenario, self.scenario.sidecars
        return self.policy_factory(
            self,
            sidecar,
            now=self.engine.now,
            seed=derive_seed(self.seed, "decisions", sidecar.number * 1000 + sidecar.incarnation),
            place=i.SidecarPosition(sidecar.number, self.sidecar_count(), sidecar.zone, len(scenario.zones)),
            offerings=self.offerings,
            cold=i.SlowStartRule(
                scenario.cold.start, round(scenario.cold.ramp * i.SECOND), scenario.cold.multiple,
                round(scenario.cold.window * i.SECOND),
            ),
            permits=i.BalancerOptions(
                max_dispatches=terms.dispatches, may_cancel=terms.cancel, may_probe=terms.probes,
                max_retry_delay_ns=round(terms.come_back * i.SECOND),
                subscribes=scenario.listed.mode == "ask",
                sizes_follow_load=scenario.listed.loads_every > 0, streams_per_connection=terms.streams,
                cross_zone_cost=terms.crossing,
            ),
            quotas=[tenant.quota for tenant in scenario.tenants],
        )  # fmt: skip

    def sidecar_count(self) -> int:
        return sum(zone.sidecars for zone in self.scenario.zones)

    def find_server(self, upstream: int) -> Server | None:
        return self.servers[upstream] if 0 <= upstream < len(self.servers) else None

    # -- notifications from the parts of the model

    def record_event(self, now: int, code: int, first: int, second: int) -> None:
        """Adds an event to the run digest, which differs between any two runs that differ in an event."""
        buffer = self.event_buffer
        buffer.extend((now, code, first, second))
        if len(buffer) > 1 << 16:
            self.hasher.update(buffer.tobytes())
            del buffer[:]

    def dispatch_sent(self, now: int, dispatch: Dispatch) -> None:
        query, server, sidecar = dispatch.query, dispatch.server, dispatch.sidecar
        self.referee.record_dispatch(
            now, query.number, dispatch.shot, server.number, sidecar.number, sidecar.zone
        )
        self.record_event(now, 2, query.number * 8 + dispatch.shot, server.number)
        self.meter.dispatch_sent(now, sidecar.zone, server.zone != sidecar.zone)
        server.assigned_count += 1
        server.assigned_work_ns += query.work_ns
        if self.story is not None:
            self.story.dispatch_sent(now, dispatch)

    def dispatch_ended(self, dispatch: Dispatch) -> None:
        dispatch.server.assigned_count -= 1
        dispatch.server.assigned_work_ns -= dispatch.query.work_ns

    def begin_execution(self, server: Server, dispatch: Dispatch) -> bool:
        """Records that a server runs a query, whether or not it later fails it.

        Returns False if the server drops the query as a repeat.
        """
        now, query = self.engine.now, dispatch.query
        terms = self.offerings[query.offering]
        self.record_event(now, 3, query.number * 8 + dispatch.shot, server.number)
        if self.story is not None:
            self.story.dispatch_started(now, dispatch)
        if terms.effect == i.LABELLED:
            scope = {i.EVERYWHERE: -1, i.SAME_ZONE: server.zone, i.SAME_CELL: server.cell}[
                terms.deduplication_scope
            ]
            while self.dedupe_queue and self.dedupe_queue[0][0] <= now:
                self.dedupe_expiry.pop(self.dedupe_queue.popleft()[1], None)
            if (scope, query.wish) in self.dedupe_expiry:
                return False
            self.dedupe_expiry[scope, query.wish] = now + self.dedupe_retention_ns
            self.dedupe_queue.append((now + self.dedupe_retention_ns, (scope, query.wish)))
        self.referee.record_effect(now, query.wish, query.number, server.number, query.offering)
        return True

    def cold_capacity(self, server: Server, now: int) -> float:
        """The work (ns on one core) that a cold server can do in the window that ends at `now`.

        Capacity grows linearly, so the window's total is its length times the capacity at its midpoint.
        """
        window_ns = round(self.scenario.cold.window * i.SECOND)
        return server.cores * server.speed * window_ns * server.warm_fraction(now - window_ns // 2)

    def admit_cold_work(self, now: int, server: Server, work: int) -> bool:
        """Whether the "bound" policy may send `work` ns more to a cold server; if so, counts it as sent.

        The limit is 90% of that of the referee's rule, which leaves a margin.
        """
        sent = self.cold_work_sent.setdefault(server.number, deque())
        window_ns = round(self.scenario.cold.window * i.SECOND)
        while sent and sent[0][0] <= now - window_ns:
            sent.popleft()
        limit_ns = 0.9 * self.scenario.cold.multiple * self.cold_capacity(server, now)
        if sum(earlier for _, earlier in sent) + work > limit_ns:
            return False
        sent.append((now, work))
        return True

    def policy_note(self, now: int, sidecar: int, text: str) -> None:
        self.meter.policy_note(now, sidecar, text)
        if self.story is not None:
            self.story.policy_note(now, sidecar, text)

    # -- the run

    def start(self) -> None:
        for server in self.servers:
            self.discovery.update_entry(server)
        full_list = list(self.discovery.entries.values())
        for sidecar in self.sidecars:
            sidecar.list_version = self.discovery.version
            sidecar.receive_list((full_list, True, 0, 0))
        if self.scenario.listed.loads_every:
            self.engine.schedule(
                round(self.scenario.listed.loads_every * i.SECOND), self.discovery.publish_loads
            )
        self.engine.schedule(0, self.sample_cold_loads)

    def sample_cold_loads(self, _: None = None) -> None:
        """Samples the load of each cold server as a fraction of its limit, at each step of the time line."""
        now = self.engine.now
        for server in self.servers:
            if now - server.started_cold_at < server.ramp_ns and server.number in self.referee.cold_work_ns:
                fraction = self.referee.cold_work_ns[server.number] / (
                    self.scenario.cold.multiple * self.cold_capacity(server, now)
                )
                self.cold_loads.setdefault(server.number, []).append((now / i.SECOND, fraction))
        if now < self.scenario.seconds * i.SECOND:
            self.engine.schedule(now + int(STEP_SECONDS * i.SECOND), self.sample_cold_loads)

    def run(self) -> Result:
        """Runs the simulation to its end. Raises ModelError if the model's accounting is inconsistent."""
        wall_start, cpu_start = time.perf_counter(), time.process_time()
        gc.collect()
        gc.freeze()  # objects that live as long as the run are not scanned by every collection
        try:
            self.start()
            end = round(self.scenario.seconds * i.SECOND)
            event_count = self.engine.run(end)
            event_count += (
                self.engine.run(end + round(TAIL_SECONDS * i.SECOND))
                if not self.scenario.listed.loads_every
                else 0
            )
            if self.scenario.listed.loads_every:  # periodic updates: the event queue never drains
                event_count += self.engine.run(
                    end + round(max(t.stop for t in self.scenario.offerings) * i.SECOND) + 1
                )
        finally:
            gc.unfreeze()
        self.referee.finish(self.engine.now)
        self.check_accounting()
        figures, latencies = summarize(self.meter)
        self.hasher.update(self.event_buffer.tobytes())
        wall = time.perf_counter() - wall_start
        return Result(
            figures={
                **figures, "policy": self.policy_name, "seed": self.seed, "scenario": self.scenario.title,
                "void": self.referee.breach_count, "cold_most": self.referee.peak_cold_load,
                "events": event_count,
                "queries": self.clients.query_count, "lines_told": self.discovery.entries_sent,
                "wall": wall, "cpu": time.process_time() - cpu_start,
                "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
                "digest": self.hasher.hexdigest(), "day": self.workload.digest(),
            },
            latencies_ns=latencies, timelines=self.meter.timelines, notes=self.meter.notes,
            cold_loads=self.cold_loads,
            breaches=[str(breach) for breach in self.referee.breaches],
        )  # fmt: skip

    def check_accounting(self) -> None:
        """Checks Little's law on every server and that every wish was sent.

        The time integral of the number of queries held must equal the sum of their sojourn times; it does not
        if the model loses or duplicates a query.
        """
        now = self.engine.now
        for server in self.servers:
            server.update_occupancy()
            sojourn_ns = server.total_sojourn_ns + sum(
                now - dispatch.arrived_at for dispatch in [*server.running, *server.queue]
            )
            if server.occupancy_integral_ns != sojourn_ns:
                raise ModelError(
                    f"server {server.number}: occupancy integral of {server.occupancy_integral_ns} ns "
                    f"differs from the total sojourn time of {sojourn_ns} ns"
                )
        if self.meter.wish_count != len(self.workload):
            raise ModelError(
                f"clients sent queries for {self.meter.wish_count} of {len(self.workload)} wishes"
            )
