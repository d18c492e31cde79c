"""A process with little memory under clients that make it hold much, beside usual clients."""

import asyncio
import tempfile
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from maddercart.rig.processes.loopback import format_address
from maddercart.rig.processes.memory_clients import BODY_BYTES, Shape, run_clients
from maddercart.rig.processes.sidecar_group import SidecarGroup
from maddercart.rig.processes.sidecar_process import HARD_STOP_SECONDS, SidecarProcess

POLL_SECONDS = 0.02  # between two looks at the process's memory
LARGE_ANSWER_BYTES = 60_000
USUAL_CLIENTS, USUAL_PAUSE_SECONDS = 20, 0.2
DESCRIPTOR_SHARE = 3  # clients hold at most a third of the descriptors
QUIET_SECONDS = 1.0  # before the other clients come, and after they have left
BYTES_PER_MB = 1 << 20
SERVED_SHARE = 0.5  # of the usual requests, as on the operators' days

GATEWAY_HEAD = """
[process]
memory_mb = {memory_mb}
descriptors = {descriptors}
[[listeners]]
name = "front"
address = "{address}"
[[routes]]
name = "all"
effect = "redoable"
agreed = 0.8
stop = {stop}
body = {body}
to = [{{ pool = "p" }}]
[[pools]]
name = "p"
zones = ["a"]
zone = "a"
"""
GATEWAY_SERVER = '[[pools.servers]]\nname = "{name}"\naddress = "{address}"\nzone = "a"\n'


@dataclass(frozen=True)
class MemoryRunSettings:
    """`memory_mb` and `descriptors` are the limits in the configuration of the process."""

    shapes: tuple[Shape, ...]
    memory_mb: int
    descriptors: int
    duration_seconds: float
    seed: int = 1
    is_gateway: bool = False
    clients: int | None = None  # beside the usual ones; None: to a third of the descriptors

    def client_count(self) -> int:
        if self.clients is not None:
            return self.clients
        return self.descriptors // DESCRIPTOR_SHARE - USUAL_CLIENTS


@dataclass(frozen=True)
class MemoryRunResult:
    idle_mb: float  # of the process's own memory
    peak_mb: float
    exit_code: int | None  # of a process that ended before its run did
    usual_requests: int
    usual_answered: int  # with the status 200
    usual_unanswered: int
    other_connections: int
    late_errors: int  # other connections that got neither an error nor their end in time
    log: str
    slowest_seconds: float  # of the answers to usual requests
    losses: list[str]  # one line for each usual request without an answer

    def describe(self) -> str:
        """One line with the figures."""
        return (
            f"idle {self.idle_mb:.1f} MB, peak {self.peak_mb:.1f} MB, usual requests {self.usual_requests}, "
            f"{self.usual_answered} answered, {self.usual_unanswered} without an answer, "
            f"the slowest after {self.slowest_seconds:.2f} s, "
            f"{self.other_connections} other connections, {self.late_errors} of them with a late error"
        )

    def violations(self, memory_mb: int) -> list[str]:
        """The bounds that were not kept."""
        bounds = {
            "the process ended by itself": self.exit_code is None,
            "its memory passed the limit": self.peak_mb <= memory_mb,
            "usual requests got no answer": self.usual_unanswered == 0,
            "too few usual requests were served": self.usual_answered >= SERVED_SHARE * self.usual_requests,
            "other clients got their error too late": self.late_errors == 0,
        }
        return [name for name, holds in bounds.items() if not holds]


class GatewayProcess(SidecarProcess):
    """A gateway in the place of a sidecar; its file has one route to all upstreams."""

    def write_file(self, settings: MemoryRunSettings, upstream_addresses: dict[str, str]) -> None:
        text = GATEWAY_HEAD.format(
            memory_mb=settings.memory_mb, descriptors=settings.descriptors, stop=HARD_STOP_SECONDS,
            address=format_address(self.listen_address), body=BODY_BYTES,
        )  # fmt: skip
        for name, address in upstream_addresses.items():
            text += GATEWAY_SERVER.format(name=name, address=address)
        self.gateway_file = self.config_file.with_suffix(".toml")
        self.gateway_file.write_text(text)

    def command(self) -> list[str]:
        return ["gateway", "serve", str(self.gateway_file)]


def own_memory_mb(process_id: int) -> float:
    """A process's anonymous memory, which no file backs; 0 once it has ended."""
    with suppress(OSError, StopIteration):
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
        line = next(line for line in lines if line.startswith("RssAnon"))
        return int(line.split()[1]) * 1024 / BYTES_PER_MB
    return 0.0


class MemoryWatch:
    """Notes the highest memory of a sidecar's processes."""

    def __init__(self, sidecar: SidecarProcess) -> None:
        self.sidecar, self.peak_mb = sidecar, 0.0

    async def run(self) -> None:
        while True:
            if self.sidecar.process is not None:
                self.peak_mb = max(self.peak_mb, own_memory_mb(self.sidecar.process.pid))
            await asyncio.sleep(POLL_SECONDS)


async def play(settings: MemoryRunSettings, folder: Path) -> MemoryRunResult:
    async with SidecarGroup(folder, settings.seed, sidecar_count=1, upstreams=8) as group:
        if settings.is_gateway:
            gateway = GatewayProcess(folder, 0, 1)
            gateway.write_file(settings, group.dial_addresses)
            group.sidecars = [gateway]
        (sidecar,) = group.sidecars
        for upstream in group.upstreams:
            upstream.answer_bytes = LARGE_ANSWER_BYTES if Shape.UNREAD_ANSWERS in settings.shapes else 0
        sidecar.configure(limits={"sockets": settings.descriptors, "memory_mb": settings.memory_mb})
        await group.start_sidecars()
        assert sidecar.process is not None
        idle_mb = own_memory_mb(sidecar.process.pid)
        watch = MemoryWatch(sidecar)
        shapes = [settings.shapes[n % len(settings.shapes)] for n in range(settings.client_count())]
        group.start_clients(USUAL_CLIENTS, USUAL_PAUSE_SECONDS, settings.duration_seconds + 2 * QUIET_SECONDS)
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(QUIET_SECONDS)
        others = await asyncio.to_thread(
            run_clients, sidecar.listen_address, shapes, settings.duration_seconds
        )
        await group.wait_for_clients()
        watching.cancel()
        answered = sum(request.status == 200 for request in group.requests)
        lost = [request for request in group.requests if request.loss_reason]
        return MemoryRunResult(
            idle_mb, watch.peak_mb, sidecar.process.poll(), len(group.requests), answered, len(lost),
            others.connections, others.late_errors, sidecar.log_file.read_text(),
            max((r.responded_at - r.sent_at for r in group.requests if r.responded_at), default=0.0),
            [f"{request.trace_id}: {request.loss_reason}" for request in lost],
        )  # fmt: skip


def run_memory(settings: MemoryRunSettings) -> MemoryRunResult:
    """Plays one run in an event loop of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(settings, Path(folder)))
