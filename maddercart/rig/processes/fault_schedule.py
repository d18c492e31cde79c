"""The faults of a soak, drawn from its seed: of discovery, clocks, upstreams, and signals to the sidecars."""

import asyncio
import signal
import time
from contextlib import suppress
from dataclasses import dataclass, field

from maddercart.rig.processes.fake_discovery import DiscoveryFault, FakeDiscoveryService
from maddercart.rig.processes.sidecar_group import SidecarGroup
from maddercart.rig.processes.sidecar_process import HARD_STOP_SECONDS, SidecarProcess

SIGKILL_DELAY_SECONDS = HARD_STOP_SECONDS + 0.7  # after SIGTERM
CLOCK_OFFSETS_SECONDS = (-3600.0, -5.0, -3.0, 0.0, 3.0, 20.0, 400.0, 3600.0)
IDLE_CONNECTIONS = 60


@dataclass
class ProcessRun:
    """One process of a sidecar, from its start to its end (monotonic seconds)."""

    sidecar: str
    started_at: float
    ended_at: float = float("inf")
    killed: bool = False  # by SIGKILL with no SIGTERM before it


@dataclass
class ServiceUse:
    """The span in which a sidecar was configured with a discovery service (monotonic seconds)."""

    sidecar: str
    service: FakeDiscoveryService
    since: float
    until: float = float("inf")


@dataclass
class SoakRecord:
    """What the rule checker needs beside the records of clients, upstreams and discovery services."""

    runs: list[ProcessRun] = field(default_factory=list)
    service_uses: list[ServiceUse] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)
    events: list[str] = field(default_factory=list)


class FaultSchedule:
    """Plays faults at random instants and records what the rule checker has to know of them."""

    # The names appear in the results; a repeated one is drawn more often. Every event steps a clock first,
    # and "step" does nothing else.
    EVENTS = (
        "outage",
        "outage",
        "silence",
        "step",
        "move",
        "term",
        "kill",
        "crowd",
        "signals",
        "hang",
        "drain",
        "drain",
    )

    def __init__(self, group: SidecarGroup, record: SoakRecord) -> None:
        self.group, self.rng, self.record = group, group.rng, record
        self.tasks: list[asyncio.Task[None]] = []

    def record_start(self, sidecar: SidecarProcess) -> None:
        """Records that a process of the sidecar was started just now."""
        now = time.monotonic()
        self.record.runs.append(ProcessRun(sidecar.name, now))
        self.record.service_uses.append(ServiceUse(sidecar.name, self.group.services[sidecar.name], now))

    async def run(self, duration_seconds: float) -> None:
        """Plays six to nine events, then stops all sidecars; `duration_seconds` covers both."""
        started_at = time.monotonic()
        count = self.rng.randrange(6, 10)
        offsets = sorted(self.rng.uniform(0.5, duration_seconds - 3) for _ in range(count))
        events = [self.rng.choice(self.EVENTS) for _ in offsets]
        for offset, event in zip(offsets, events, strict=True):
            await asyncio.sleep(max(0.0, started_at + offset - time.monotonic()))
            self.record.events.append(f"{offset:.1f} {event}")
            self.step_random_clock()
            self.tasks.append(asyncio.create_task(self.play(event)))
        await asyncio.sleep(
            max(0.0, started_at + duration_seconds - SIGKILL_DELAY_SECONDS - time.monotonic())
        )
        await asyncio.gather(*self.tasks)
        await asyncio.gather(*(self.terminate(sidecar) for sidecar in self.group.sidecars))

    def step_random_clock(self) -> None:
        self.rng.choice(self.group.sidecars).set_wall_clock_offset(self.rng.choice(CLOCK_OFFSETS_SECONDS))

    async def play(self, event: str) -> None:
        sidecar = self.rng.choice(self.group.sidecars)
        match event:
            case "outage":
                await self.discovery_outage()
            case "silence":
                for service in self.group.services.values():
                    service.silence_watches()
                await asyncio.sleep(self.rng.uniform(0, 1))
                self.drain_upstreams()
            case "move":
                for _ in range(self.rng.randrange(1, 5)):
                    await self.move_discovery(sidecar)
                    await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            case "term":
                await self.terminate(sidecar)
                await self.restart(sidecar)
            case "signals":
                await self.send_signals_in_series(sidecar)
                await self.restart(sidecar)
            case "kill":
                await self.kill(sidecar)
                await self.restart(sidecar)
            case "crowd":
                await self.open_idle_connections(sidecar)
            case "hang":
                upstream = self.rng.choice(self.group.upstreams)
                upstream.hangs = True
                await asyncio.sleep(self.rng.uniform(0.5, 3))
                upstream.hangs = False
            case "drain":
                self.drain_upstreams()

    async def discovery_outage(self) -> None:
        """Fails the discovery service of one sidecar or of all, with a drain during or right after it."""
        fault = self.rng.choice([DiscoveryFault.UNAVAILABLE, DiscoveryFault.RESET, DiscoveryFault.HANG])
        names = list(self.group.services)
        affected = self.rng.choice([names, self.rng.sample(names, 1)])
        for name in affected:
            self.group.services[name].begin_fault(fault)
        drain_during_outage = self.rng.random() < 0.5
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        if drain_during_outage:
            self.drain_upstreams()
        await asyncio.sleep(self.rng.uniform(0, 4))
        for name in affected:
            for service in [self.group.services[name], *self.group.former_services[name]]:
                service.recover()
        if not drain_during_outage:
            self.drain_upstreams()

    def drain_upstreams(self) -> None:
        """Drains or deletes up to two upstreams, but leaves three of the serving ones.

        If fewer than five are serving, one that was taken out before comes back first, as newly started.
        """
        health_by_host = {entry["host"]: entry["health"] for entry in self.group.registry.snapshot()["hosts"]}
        serving = [
            upstream for upstream in self.group.upstreams if health_by_host.get(upstream.host) == "SERVING"
        ]
        removed = [upstream for upstream in self.group.upstreams if upstream not in serving]
        if removed and len(serving) < 5:
            returning = self.rng.choice(removed)
            self.group.registry.publish(self.group.entry(returning, "SERVING", time.time() * 1000))
        health = self.rng.choice(["DRAINING", "DRAINING", "DELETED"])
        self.group.publish_health(health, *self.rng.sample(serving, min(2, max(0, len(serving) - 3))))

    async def move_discovery(self, sidecar: SidecarProcess) -> None:
        """Configures the sidecar with a new discovery service and retires the old one 1.5 s later."""
        service = await self.group.move_discovery(sidecar)
        sidecar.send_signal(signal.SIGHUP)
        now = time.monotonic()
        for use in self.record.service_uses:
            if use.sidecar == sidecar.name:
                use.until = min(use.until, now)
        self.record.service_uses.append(ServiceUse(sidecar.name, service, now))
        former = self.group.former_services[sidecar.name][-1]
        self.tasks.append(asyncio.create_task(self.retire_later(former)))

    async def retire_later(self, service: FakeDiscoveryService) -> None:
        await asyncio.sleep(1.5)
        service.retired = True
        service.begin_fault(DiscoveryFault.RESET)

    async def open_idle_connections(self, sidecar: SidecarProcess) -> None:
        """Opens many connections, sends nothing on them and resets them after at most 1.5 s."""
        writers: list[asyncio.StreamWriter] = []
        for _ in range(IDLE_CONNECTIONS):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*sidecar.listen_address)
                writers.append(writer)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        for writer in writers:
            writer.transport.abort()

    async def send_signals_in_series(self, sidecar: SidecarProcess) -> None:
        """Sends reloads close together, then a stop with further signals behind it."""
        for _ in range(self.rng.randrange(1, 8)):
            sidecar.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.2]))
        stopping = asyncio.create_task(self.terminate(sidecar))
        for _ in range(self.rng.randrange(1, 6)):
            await asyncio.sleep(self.rng.uniform(0, 0.4))
            sidecar.send_signal(self.rng.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
        await stopping

    def latest_run(self, sidecar: SidecarProcess) -> ProcessRun:
        return next(run for run in reversed(self.record.runs) if run.sidecar == sidecar.name)

    async def terminate(self, sidecar: SidecarProcess) -> None:
        """Sends SIGTERM, and SIGKILL after the shortest time that the sidecar must be given."""
        if not sidecar.is_running():
            sidecar.note_crash()
            return
        code = await asyncio.to_thread(sidecar.stop, signal.SIGTERM, SIGKILL_DELAY_SECONDS)
        self.record.exit_codes.append(code)
        self.record_end(sidecar, killed=False)

    async def kill(self, sidecar: SidecarProcess) -> None:
        if sidecar.is_running():
            await asyncio.to_thread(sidecar.stop, signal.SIGKILL)
            self.record_end(sidecar, killed=True)

    def record_end(self, sidecar: SidecarProcess, killed: bool) -> None:
        """Records that the process of the sidecar ended just now."""
        now, run = time.monotonic(), self.latest_run(sidecar)
        run.ended_at, run.killed = now, killed
        for use in self.record.service_uses:
            if use.sidecar == sidecar.name:
                use.until = min(use.until, now)

    async def restart(self, sidecar: SidecarProcess) -> None:
        """Starts the sidecar unless it runs, with the current upstream list or an earlier one as `known`."""
        if sidecar.is_running():
            return
        sidecar.note_crash()
        if self.rng.random() < 0.5:
            sidecar.configure(known=self.group.registry.snapshot())
        sidecar.start()
        self.record_start(sidecar)
        await asyncio.to_thread(sidecar.wait_until_ready)
