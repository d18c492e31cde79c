"""A group of sidecar processes with its upstreams, discovery services, peer relay and clients on loopback."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import Any

from maddercart.rig.processes.clients import Client, ClientRequest
from maddercart.rig.processes.fake_discovery import FakeDiscoveryService, UpstreamRegistry
from maddercart.rig.processes.fake_upstreams import Attempt, FakeUpstream
from maddercart.rig.processes.loopback import format_address
from maddercart.rig.processes.peer_relay import PeerRelay
from maddercart.rig.processes.sidecar_process import SidecarProcess
from maddercart.rig.processes.stalls import StallMonitor


class SidecarGroup:
    """A sidecar group as an asynchronous context manager, which kills the processes at its end."""

    def __init__(
        self, folder: Path, seed: int, sidecar_count: int = 3, upstreams: int = 6, faults: str = ""
    ) -> None:
        self.rng = Random(seed)
        self.attempts: list[Attempt] = []
        self.requests: list[ClientRequest] = []
        self.sidecars = [
            SidecarProcess(folder, index, sidecar_count, faults) for index in range(sidecar_count)
        ]
        self.upstreams = [
            FakeUpstream(f"s-{index}", self.attempts, Random(seed + index)) for index in range(upstreams)
        ]
        self.dial_addresses: dict[str, str] = {}  # by upstream host
        self.services: dict[str, FakeDiscoveryService] = {}  # by sidecar name: the configured one
        self.former_services: dict[str, list[FakeDiscoveryService]] = {}  # by sidecar name
        self.clients: list[asyncio.Task[None]] = []
        self.stall_monitor = StallMonitor()
        self.monitor_tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "SidecarGroup":
        self.monitor_tasks.append(asyncio.create_task(self.stall_monitor.run()))
        self.dial_addresses = {upstream.host: await upstream.start() for upstream in self.upstreams}
        self.registry = UpstreamRegistry([self.entry(upstream, "SERVING") for upstream in self.upstreams])
        relay = PeerRelay([sidecar.peer_address for sidecar in self.sidecars])
        peer_addresses, group_address = await relay.start()
        for sidecar in self.sidecars:
            service = self.services[sidecar.name] = FakeDiscoveryService(self.registry)
            self.former_services[sidecar.name] = []
            sidecar.configure(
                discovery=await service.start(), known=self.registry.snapshot(),
                peer_listen=format_address(sidecar.peer_address),
                peers=[format_address(address) for address in peer_addresses],
                peers_all=format_address(group_address),
            )  # fmt: skip
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in [*self.clients, *self.monitor_tasks]:
            task.cancel()
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.is_running():
                sidecar.process.kill()
                sidecar.process.wait()

    def entry(self, upstream: FakeUpstream, health: str, born_ms: float = 0) -> dict[str, Any]:
        """The discovery entry of an upstream that started at `born_ms` (Unix time in ms)."""
        return upstream.entry(self.dial_addresses[upstream.host], health, born_ms)

    def publish_health(self, health: str, *upstreams: FakeUpstream) -> None:
        """Publishes a new health (SERVING, DRAINING or DELETED) of the upstreams."""
        self.registry.publish(*(self.entry(upstream, health) for upstream in upstreams))

    async def start_sidecars(self) -> None:
        """Starts all sidecars and waits until they are ready."""
        for sidecar in self.sidecars:
            sidecar.start()
        await self.wait_until_ready()

    def set_random_clock_offsets(self) -> None:
        for sidecar in self.sidecars:
            sidecar.set_wall_clock_offset(self.rng.choice([0, 0, 5, -5, 3600, -3600]))

    async def wait_until_ready(self) -> None:
        await asyncio.gather(*(asyncio.to_thread(sidecar.wait_until_ready) for sidecar in self.sidecars))

    def start_clients(
        self, clients_per_sidecar: int, mean_pause_seconds: float, duration_seconds: float
    ) -> None:
        """Starts `clients_per_sidecar` clients at each sidecar for `duration_seconds` seconds.

        `mean_pause_seconds` is the mean time between two requests of a client, in seconds.
        """
        until = time.monotonic() + duration_seconds
        for sidecar in self.sidecars:
            for _ in range(clients_per_sidecar):
                client = Client(sidecar, self.requests, Random(self.rng.getrandbits(32)))
                self.clients.append(asyncio.create_task(client.run(until, mean_pause_seconds)))

    async def wait_for_clients(self) -> None:
        await asyncio.gather(*self.clients)

    async def move_discovery(self, sidecar: SidecarProcess) -> FakeDiscoveryService:
        """Configures the sidecar with a new discovery service, which it uses once the caller sends SIGHUP."""
        service = FakeDiscoveryService(self.registry)
        self.former_services[sidecar.name].append(self.services[sidecar.name])
        self.services[sidecar.name] = service
        sidecar.configure(discovery=await service.start())
        return service
