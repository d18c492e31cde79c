"""A few sidecar processes with their upstreams, discovery services, datagrams and clients, on loopback."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import Any

from maddercart.rig.processes.clients import Asked, Client
from maddercart.rig.processes.discovery import DiscoveryService, Registry
from maddercart.rig.processes.peering import PeerRelay
from maddercart.rig.processes.sidecar import SidecarProcess, text
from maddercart.rig.processes.upstreams import Attempt, UpstreamStandIn


class Tier:
    """Use as an asynchronous context: its processes are ended with it."""

    def __init__(
        self, folder: Path, seed: int, sidecars: int = 3, upstreams: int = 6, faults: str = ""
    ) -> None:
        self.chance = Random(seed)
        self.attempts: list[Attempt] = []
        self.asked: list[Asked] = []
        self.sidecars = [SidecarProcess(folder, n, sidecars, faults) for n in range(sidecars)]
        self.upstreams = [
            UpstreamStandIn(f"s-{n}", self.attempts, Random(seed + n)) for n in range(upstreams)
        ]
        self.dials: dict[str, str] = {}
        self.services: dict[str, DiscoveryService] = {}  # by sidecar: the one that it is configured with
        self.former: dict[str, list[DiscoveryService]] = {}
        self.clients: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Tier":
        self.dials = {upstream.host: await upstream.start() for upstream in self.upstreams}
        self.registry = Registry([self.line(upstream, "SERVING") for upstream in self.upstreams])
        relay = PeerRelay([sidecar.peer_listen for sidecar in self.sidecars])
        peers, everyone = await relay.start()
        for sidecar in self.sidecars:
            service = self.services[sidecar.name] = DiscoveryService(self.registry)
            self.former[sidecar.name] = []
            sidecar.configure(
                discovery=await service.start(), known=self.registry.whole(),
                peer_listen=text(sidecar.peer_listen), peers=[text(peer) for peer in peers],
                peers_all=text(everyone),
            )  # fmt: skip
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            client.cancel()
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.running():
                sidecar.process.kill()
                sidecar.process.wait()

    def line(self, upstream: UpstreamStandIn, health: str, born_ms: float = 0) -> dict[str, Any]:
        return upstream.line(self.dials[upstream.host], health, born_ms)

    def change(self, health: str, *upstreams: UpstreamStandIn) -> None:
        self.registry.change(*(self.line(upstream, health) for upstream in upstreams))

    async def start(self) -> None:
        """Starts all sidecars; returns once they are ready."""
        for sidecar in self.sidecars:
            sidecar.start()
        await self.ready()

    def step_clocks_at_random(self) -> None:
        for sidecar in self.sidecars:
            sidecar.step_wall_clock(self.chance.choice([0, 0, 5, -5, 3600, -3600]))

    async def ready(self) -> None:
        await asyncio.gather(*(asyncio.to_thread(sidecar.wait_until_ready) for sidecar in self.sidecars))

    def begin_clients(self, each: int, pause: float, span: float) -> None:
        """So many at each sidecar, for a time; `pause`: the mean between two requests (all seconds)."""
        until = time.monotonic() + span
        for sidecar in self.sidecars:
            for _ in range(each):
                client = Client(sidecar, self.asked, Random(self.chance.getrandbits(32)))
                self.clients.append(asyncio.create_task(client.run(until, pause)))

    async def clients_done(self) -> None:
        await asyncio.gather(*self.clients)

    async def move_discovery(self, sidecar: SidecarProcess) -> DiscoveryService:
        """A new configuration names another service; the caller sends SIGHUP."""
        service = DiscoveryService(self.registry)
        self.former[sidecar.name].append(self.services[sidecar.name])
        self.services[sidecar.name] = service
        sidecar.configure(discovery=await service.start())
        return service
