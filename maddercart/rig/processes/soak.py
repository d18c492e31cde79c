"""Soaks: real sidecar processes under faults drawn from a seed, checked against the operators' rules."""

import asyncio
import tempfile
from dataclasses import dataclass
from itertools import cycle, islice
from pathlib import Path

from maddercart.rig.processes.fault_schedule import FaultSchedule, SoakRecord
from maddercart.rig.processes.memory_clients import Shape, run_clients
from maddercart.rig.processes.memory_run import MemoryWatch
from maddercart.rig.processes.rule_checker import RuleChecker
from maddercart.rig.processes.sidecar_group import SidecarGroup
from maddercart.rig.processes.sidecar_process import SidecarProcess

# In soaks with a seed that this divides, one sidecar has little memory and a crowd of clients of all shapes.
CROWD_EVERY_SEEDS = 3
CROWD_CLIENTS, CROWD_MEMORY_MB, CROWD_DESCRIPTORS = 150, 32, 512
SYSTEM_CALL_FAULT_SHARE = 0.01  # of the calls on sockets, in soaks with an odd seed


@dataclass(frozen=True)
class SoakResult:
    seed: int
    requests: int
    answered: int  # requests with the status 200
    attempts: int
    events: list[str]  # "SECONDS NAME" of each fault that was played
    violations: list[str]  # one line for each violation of a rule


async def play_crowd(sidecar: SidecarProcess, duration_seconds: float) -> None:
    shapes = list(islice(cycle(Shape), CROWD_CLIENTS))
    await asyncio.to_thread(run_clients, sidecar.listen_address, shapes, duration_seconds)


async def soak(seed: int, duration_seconds: float, folder: Path | None = None) -> SoakResult:
    """Runs one soak; the sidecars' logs and configurations are kept in `folder` if it is given."""
    with tempfile.TemporaryDirectory() as temporary:
        faults = f"{seed}:{SYSTEM_CALL_FAULT_SHARE}" if seed % 2 else ""
        async with SidecarGroup(folder or Path(temporary), seed, upstreams=8, faults=faults) as group:
            for upstream in group.upstreams:
                upstream.reset_share = 0.02
            record = SoakRecord()
            schedule = FaultSchedule(group, record)
            if seed % CROWD_EVERY_SEEDS == 0:
                limits = {"sockets": CROWD_DESCRIPTORS, "memory_mb": CROWD_MEMORY_MB}
                group.sidecars[0].configure(limits=limits)
            group.set_random_clock_offsets()
            for sidecar in group.sidecars:
                sidecar.start()
                schedule.record_start(sidecar)
            await group.wait_until_ready()
            watch = None
            if seed % CROWD_EVERY_SEEDS == 0:
                watch = MemoryWatch(group.sidecars[0])
                group.monitor_tasks.append(asyncio.create_task(watch.run()))
                group.monitor_tasks.append(
                    asyncio.create_task(play_crowd(group.sidecars[0], duration_seconds))
                )
            group.start_clients(
                clients_per_sidecar=6, mean_pause_seconds=0.04, duration_seconds=duration_seconds
            )
            await schedule.run(duration_seconds)
            await group.wait_for_clients()
            answered = sum(request.status == 200 for request in group.requests)
            violations = RuleChecker(group, record).violations()
            if watch is not None and watch.peak_mb > CROWD_MEMORY_MB:
                violations.append(f"memory: {watch.peak_mb:.1f} MB of {CROWD_MEMORY_MB}")
            return SoakResult(
                seed, len(group.requests), answered, len(group.attempts), record.events, violations
            )


def run_soak(seed: int, duration_seconds: float, log_folder: Path | None = None) -> SoakResult:
    """Runs `soak` for `duration_seconds` seconds in an event loop of its own.

    `log_folder` is a folder in which the logs and configurations are kept, in a subfolder named by the seed.
    """
    folder = None if log_folder is None else log_folder / str(seed)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(soak(seed, duration_seconds, folder))
