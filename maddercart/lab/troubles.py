"""Fault injection: applies a scenario's troubles, which may overlap, in the same way under every policy."""

from typing import TYPE_CHECKING

from maddercart.interface import DRAINING, SECOND
from maddercart.lab.scenario import Scenario, Trouble
from maddercart.lab.streams import random_stream

if TYPE_CHECKING:
    from maddercart.lab.servers import Server
    from maddercart.lab.sidecars import Sidecar
    from maddercart.lab.world import World


class Troubles:
    """Schedules the beginning and the end of each trouble of a scenario."""

    def __init__(self, world: "World", scenario: Scenario, seed: int) -> None:
        self.world, self.engine, self.scenario = world, world.engine, scenario
        self.affected: list[list[int]] = []  # by trouble: numbers of the servers or sidecars affected
        for index, trouble in enumerate(scenario.troubles):
            start, end = round(trouble.start * SECOND), round(scenario.end_seconds(trouble) * SECOND)
            draws = random_stream(seed, "troubles", index)
            if trouble.kind in ("sidecar_restart", "sidecar_pause"):
                sidecars = self.choose_targets(world.sidecars, trouble, draws)
                self.affected.append([sidecar.number for sidecar in sidecars])
                for sidecar, draw in zip(sidecars, draws.random(len(sidecars)).tolist(), strict=True):
                    if trouble.kind == "sidecar_pause":
                        self.engine.schedule(start, self.pause_sidecar, (sidecar, end))
                    else:
                        self.engine.schedule(start + int(draw * (end - start)), self.restart_sidecar, sidecar)
                continue
            servers = self.choose_targets(world.servers, trouble, draws)
            self.affected.append([server.number for server in servers])
            self.engine.schedule(start, self.begin, (trouble, servers))
            if trouble.kind != "deploy":
                self.engine.schedule(end, self.end, (trouble, servers))

    def choose_targets(self, candidates: list, trouble: Trouble, draws) -> list:  # type: ignore[no-untyped-def,type-arg]
        """Chooses the servers or sidecars that a trouble affects, depending on the seed alone.

        In each of its zones it takes the trouble's share of them, at least one if the share is not 0.
        """
        zones = [self.scenario.zone_index(trouble.zone)] if trouble.zone else range(len(self.scenario.zones))
        targets = []
        for zone in zones:
            in_zone = [candidate for candidate in candidates if candidate.zone == zone]
            count = max(1, round(trouble.share * len(in_zone))) if in_zone and trouble.share else 0
            targets += [in_zone[n] for n in sorted(draws.permutation(len(in_zone))[:count].tolist())]
        return targets

    # -- beginning and end

    def begin(self, arguments: "tuple[Trouble, list[Server]]") -> None:
        trouble, servers = arguments
        discovery, network = self.world.discovery, self.world.network
        match trouble.kind:
            case "slow":
                for server in servers:
                    server.slowdown *= trouble.factor
            case "errors":
                for server in servers:
                    server.failure_share = trouble.factor
            case "crash":
                for server in servers:
                    server.crash()
            case "silent":
                for server in servers:
                    server.silent = True
            case "zone_lost":
                for server in servers:
                    server.partitioned = True
            case "crowding":
                for server in servers:
                    server.crowd_from, server.crowd_cost = 1.0, trouble.factor
            case "late_reports":
                for server in servers:
                    server.report_max_age_ns = round(trouble.factor * SECOND)
            case "list_down":
                discovery.set_down(True)
            case "list_stale":
                discovery.set_stale(True)
            case "network":
                network.scale_delays(trouble.factor, self.affected_zones(trouble))
            case "deploy":
                self.deploy(trouble, servers)

    def end(self, arguments: "tuple[Trouble, list[Server]]") -> None:
        trouble, servers = arguments
        match trouble.kind:
            case "slow":
                for server in servers:
                    server.slowdown /= trouble.factor
            case "errors":
                for server in servers:
                    server.failure_share = 0.0
            case "crash":
                for server in servers:
                    self.restore(server, trouble.cold)
            case "silent":
                for server in servers:
                    server.silent = False
            case "zone_lost":
                for server in servers:
                    if trouble.cold and server.up:
                        server.crash()
                    server.partitioned = False
                    if trouble.cold:
                        self.restore(server, True)
            case "crowding":
                for server in servers:
                    server.crowd_from, server.crowd_cost = (
                        server.settings.crowd_from,
                        server.settings.crowd_cost,
                    )
            case "late_reports":
                for server in servers:
                    server.report_max_age_ns = round(server.settings.report_age * SECOND)
            case "list_down":
                self.world.discovery.set_down(False)
            case "list_stale":
                self.world.discovery.set_stale(False)
            case "network":
                self.world.network.scale_delays(1.0, self.affected_zones(trouble))

    def affected_zones(self, trouble: Trouble) -> list[int]:
        return (
            [self.scenario.zone_index(trouble.zone)]
            if trouble.zone
            else list(range(len(self.scenario.zones)))
        )

    def restore(self, server: "Server", cold: bool) -> None:
        if not server.up:
            server.boot(cold)
        self.world.discovery.publish([server])

    # -- rolling deploy: batches of servers drain, stop and start again, in all zones concurrently

    def deploy(self, trouble: Trouble, servers: "list[Server]") -> None:
        for zone in {server.zone: None for server in servers}:
            self.drain_batch((trouble, [server for server in servers if server.zone == zone]))

    def drain_batch(self, arguments: "tuple[Trouble, list[Server]]") -> None:
        trouble, remaining = arguments
        batch, rest = remaining[: trouble.batch], remaining[trouble.batch :]
        if not batch or self.engine.now >= round(self.scenario.end_seconds(trouble) * SECOND):
            return
        for server in batch:
            server.condition = DRAINING
        self.world.discovery.publish(batch)
        delay = round(self.scenario.servers.drain * SECOND)
        self.engine.schedule(self.engine.now + delay, self.stop_batch, (trouble, batch, rest))

    def stop_batch(self, arguments: "tuple[Trouble, list[Server], list[Server]]") -> None:
        trouble, batch, rest = arguments
        for server in batch:
            server.shut_down()
        self.world.discovery.publish(batch)
        delay = round(self.scenario.servers.boot * SECOND)
        self.engine.schedule(self.engine.now + delay, self.start_batch, (trouble, batch, rest))

    def start_batch(self, arguments: "tuple[Trouble, list[Server], list[Server]]") -> None:
        trouble, batch, rest = arguments
        for server in batch:
            server.boot(cold=True)
        self.world.discovery.publish(batch)
        self.drain_batch((trouble, rest))

    # -- sidecars

    def restart_sidecar(self, sidecar: "Sidecar") -> None:
        sidecar.restart()

    def pause_sidecar(self, arguments: "tuple[Sidecar, int]") -> None:
        sidecar, until = arguments
        sidecar.pause(until)
