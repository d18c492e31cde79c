"""Runs a gateway, its fake upstreams and load generators in one thread, on a loop that tests step through."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from maddercart.gateway.node import GatewayNode
from maddercart.interface import MILLISECOND
from maddercart.net.sockets import close
from maddercart.rig.load import LoadGenerator, LoadResult, LoadShape, RequestTemplate
from maddercart.rig.standin import StandInServer, StandInSettings
from maddercart.sidecar.clock import MonotonicClock

SERVER = '[[pools.servers]]\nname = "{name}"\naddress = "{host}:{port}"\nzone = "{zone}"\n'
LISTENER = '[[listeners]]\nname = "front"\naddress = "127.0.0.1:0"\n'


class GatewayHarness:
    def __init__(self, folder: Path, servers: dict[str, str], terms: StandInSettings | None = None) -> None:
        """`servers` maps names to zones; `terms` apply to each fake upstream."""
        from maddercart.net.loop import Loop

        self.path, self.clock = folder / "gateway.toml", MonotonicClock()
        self.loop = Loop(self.clock)
        self.upstreams = {
            name: StandInServer(self.loop, self.clock, ("127.0.0.1", 0), terms or StandInSettings(5.0, 0.2))
            for name in servers
        }
        self.zones = servers
        self.loads: list[LoadGenerator] = []
        self.node: GatewayNode | None = None

    def servers(self, *names: str) -> str:
        """The configuration of the named servers."""
        return "".join(
            SERVER.format(
                name=name, host="127.0.0.1", port=self.upstreams[name].address[1], zone=self.zones[name]
            )
            for name in names
        )

    def write(self, text: str) -> None:
        self.path.write_text(text)

    def open(self, text: str) -> GatewayNode:
        """Starts the gateway with this configuration."""
        self.write(text)
        self.node = GatewayNode(self.path)
        self.node.start()
        # The fake upstreams move to the gateway's loop, so that one loop runs everything.
        setup_loop, self.loop = self.loop, self.node.loop
        for upstream in self.upstreams.values():
            upstream.loop = self.loop
            if upstream.accept_task is not None:
                setup_loop.close(upstream.accept_task)
            setup_loop.unregister(upstream.listener.fileno())
            upstream.accept_task = self.loop.spawn(upstream.accept_connections())
        setup_loop.epoll.close()
        return self.node

    @property
    def port(self) -> int:
        assert self.node is not None
        port: int = next(iter(self.node.active_listeners.values())).sock.getsockname()[1]
        return port

    def run_until(self, condition: Callable[[], Any], timeout: float = 20.0) -> Any:
        """Runs the loop until `condition` is true and returns its value; `timeout` is in seconds."""
        deadline = time.monotonic() + timeout
        while not (value := condition()):
            assert time.monotonic() < deadline, "the condition was not met in time"
            self.loop.call_at(self.clock() + 2 * MILLISECOND, lambda: None)
            self.loop.run_once()
        return value

    def run_for(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= deadline)

    def start_load(
        self, asked: RequestTemplate, rate: float, seconds: float, prefix: str = "r", seed: int = 1
    ) -> LoadGenerator:
        load = LoadGenerator(self.loop, self.clock, ("127.0.0.1", self.port), asked, prefix)
        self.loads.append(
            load
        )  # keeps the load alive: its sockets must not be closed while the loop has them
        load.start(LoadShape(rate=rate, duration_seconds=seconds, seed=seed).due_times())
        return load

    def run_load(self, asked: RequestTemplate, rate: float, seconds: float, prefix: str = "r") -> LoadResult:
        load = self.start_load(asked, rate, seconds, prefix)
        self.run_until(load.finished, seconds + asked.timeout_seconds + 5)
        return load.result

    def run_counts(self) -> dict[str, int]:
        """How often each request ran on all fake upstreams together, by request id."""
        counts: dict[str, int] = {}
        for upstream in self.upstreams.values():
            for request_id, count in upstream.effects_by_request.items():
                counts[request_id] = counts.get(request_id, 0) + count
        return counts

    def close(self) -> None:
        for load in self.loads:
            load.close()
        for task in list(self.loop.waiting_tasks.values()):
            self.loop.close(task)
        for upstream in self.upstreams.values():
            close(self.loop, upstream.listener)
        if self.node is not None:
            for active in self.node.active_listeners.values():
                close(self.loop, active.sock)
        self.loop.epoll.close()
