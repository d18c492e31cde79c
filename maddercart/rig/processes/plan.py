"""What happens in a soak: faults of discovery, clocks, signals and crowds, drawn by a seed."""

import asyncio
import signal
import time
from contextlib import suppress
from dataclasses import dataclass, field

from maddercart.rig.processes.discovery import DiscoveryService, Trouble
from maddercart.rig.processes.sidecar import LONGEST_DEADLINE, SidecarProcess
from maddercart.rig.processes.tier import Tier

KILLED_AFTER = LONGEST_DEADLINE + 0.7  # seconds from SIGTERM to SIGKILL
CLOCK_STEPS = (-3600.0, -5.0, -3.0, 0.0, 3.0, 20.0, 400.0, 3600.0)  # seconds
CROWD = 60  # connections


@dataclass
class Life:
    """One process of a sidecar, in monotonic seconds."""

    sidecar: str
    started_at: float
    ended_at: float = float("inf")
    killed: bool = False  # by SIGKILL, with no SIGTERM ahead


@dataclass
class ServiceUse:
    """From when a sidecar was told to follow a service."""

    sidecar: str
    service: DiscoveryService
    since: float
    until: float = float("inf")


@dataclass
class Happened:
    """What the judge has to know of a soak beside what clients and upstreams noted."""

    lives: list[Life] = field(default_factory=list)
    uses: list[ServiceUse] = field(default_factory=list)
    exit_codes: list[int] = field(default_factory=list)
    events: list[str] = field(default_factory=list)


class Plan:
    EVENTS = (
        "outage",
        "outage",
        "silence",
        "step",
        "move",
        "term",
        "kill",
        "crowd",
        "hang",
        "drain",
        "drain",
    )

    def __init__(self, tier: Tier, happened: Happened) -> None:
        self.tier, self.chance, self.happened = tier, tier.chance, happened
        self.tasks: list[asyncio.Task[None]] = []

    def began(self, sidecar: SidecarProcess) -> None:
        """A process of a sidecar was started."""
        now = time.monotonic()
        self.happened.lives.append(Life(sidecar.name, now))
        self.happened.uses.append(ServiceUse(sidecar.name, self.tier.services[sidecar.name], now))

    async def run(self, span: float) -> None:
        """Plays events for so many seconds, then ends every sidecar by SIGTERM and SIGKILL."""
        begun = time.monotonic()
        count = self.chance.randrange(6, 10)
        times = sorted(self.chance.uniform(0.5, span - 3) for _ in range(count))
        kinds = [self.chance.choice(self.EVENTS) for _ in times]
        for at, kind in zip(times, kinds, strict=True):
            await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
            self.happened.events.append(f"{at:.1f} {kind}")
            self.step_some_clock()
            self.tasks.append(asyncio.create_task(self.play(kind)))
        await asyncio.sleep(max(0.0, begun + span - KILLED_AFTER - time.monotonic()))
        await asyncio.gather(*self.tasks)
        await asyncio.gather(*(self.terminate(sidecar) for sidecar in self.tier.sidecars))

    def step_some_clock(self) -> None:
        self.chance.choice(self.tier.sidecars).step_wall_clock(self.chance.choice(CLOCK_STEPS))

    async def play(self, kind: str) -> None:
        sidecar = self.chance.choice(self.tier.sidecars)
        match kind:
            case "outage":
                await self.outage()
            case "silence":
                for service in self.tier.services.values():
                    service.fall_silent()
                await asyncio.sleep(self.chance.uniform(0, 1))
                self.drain()
            case "move":
                for _ in range(self.chance.randrange(1, 5)):
                    await self.move(sidecar)
                    await asyncio.sleep(self.chance.uniform(0.05, 0.5))
            case "term":
                await self.terminate(sidecar)
                await self.start_again(sidecar)
            case "kill":
                await self.kill(sidecar)
                await self.start_again(sidecar)
            case "crowd":
                await self.crowd(sidecar)
            case "hang":
                upstream = self.chance.choice(self.tier.upstreams)
                upstream.hangs = True
                await asyncio.sleep(self.chance.uniform(0.5, 3))
                upstream.hangs = False
            case "drain":
                self.drain()

    async def outage(self) -> None:
        """Of one sidecar's service or of all, with a drain in it or right after it."""
        trouble = self.chance.choice([Trouble.UNAVAILABLE, Trouble.RESET, Trouble.HANG])
        names = list(self.tier.services)
        struck = self.chance.choice([names, self.chance.sample(names, 1)])
        for name in struck:
            self.tier.services[name].begin(trouble)
        within = self.chance.random() < 0.5
        await asyncio.sleep(self.chance.uniform(0.5, 4))
        if within:
            self.drain()
        await asyncio.sleep(self.chance.uniform(0, 4))
        for name in struck:
            for service in [self.tier.services[name], *self.tier.former[name]]:
                service.recover()
        if not within:
            self.drain()

    def drain(self) -> None:
        """One or two drain or go; one that had left before comes back, newly started."""
        states = {line["host"]: line["health"] for line in self.tier.registry.whole()["hosts"]}
        serving = [one for one in self.tier.upstreams if states.get(one.host) == "SERVING"]
        left = [one for one in self.tier.upstreams if one not in serving]
        if left and len(serving) < 5:
            back = self.chance.choice(left)
            self.tier.registry.change(self.tier.line(back, "SERVING", time.time() * 1000))
        health = self.chance.choice(["DRAINING", "DRAINING", "DELETED"])
        self.tier.change(health, *self.chance.sample(serving, min(2, max(0, len(serving) - 3))))

    async def move(self, sidecar: SidecarProcess) -> None:
        service = await self.tier.move_discovery(sidecar)
        sidecar.send(signal.SIGHUP)
        now = time.monotonic()
        for use in self.happened.uses:
            if use.sidecar == sidecar.name:
                use.until = min(use.until, now)
        self.happened.uses.append(ServiceUse(sidecar.name, service, now))
        former = self.tier.former[sidecar.name][-1]
        self.tasks.append(asyncio.create_task(self.close_later(former)))

    async def close_later(self, former: DiscoveryService) -> None:
        await asyncio.sleep(1.5)
        former.retired = True
        former.begin(Trouble.RESET)

    async def crowd(self, sidecar: SidecarProcess) -> None:
        """Connections that say nothing, all at once."""
        writers: list[asyncio.StreamWriter] = []
        for _ in range(CROWD):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*sidecar.listen)
                writers.append(writer)
        await asyncio.sleep(self.chance.uniform(0.1, 1.5))
        for writer in writers:
            writer.transport.abort()

    def life(self, sidecar: SidecarProcess) -> Life:
        return next(life for life in reversed(self.happened.lives) if life.sidecar == sidecar.name)

    async def terminate(self, sidecar: SidecarProcess) -> None:
        """SIGTERM, and SIGKILL as early as it may come."""
        if not sidecar.running():
            return
        code = await asyncio.to_thread(sidecar.end, signal.SIGTERM, KILLED_AFTER)
        self.happened.exit_codes.append(code)
        self.ended(sidecar, killed=False)

    async def kill(self, sidecar: SidecarProcess) -> None:
        if sidecar.running():
            await asyncio.to_thread(sidecar.end, signal.SIGKILL)
            self.ended(sidecar, killed=True)

    def ended(self, sidecar: SidecarProcess, killed: bool) -> None:
        now, life = time.monotonic(), self.life(sidecar)
        life.ended_at, life.killed = now, killed
        for use in self.happened.uses:
            if use.sidecar == sidecar.name:
                use.until = min(use.until, now)

    async def start_again(self, sidecar: SidecarProcess) -> None:
        """By the list as it is, or as it was at its last start."""
        if sidecar.running():
            return
        if self.chance.random() < 0.5:
            sidecar.configure(known=self.tier.registry.whole())
        sidecar.start()
        self.began(sidecar)
        await asyncio.to_thread(sidecar.wait_until_ready)
