"""Soaks: real sidecar processes under faults drawn from a seed, checked against the operators' rules."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from maddercart.rig.processes.judge import RuleChecker
from maddercart.rig.processes.plan import FaultSchedule, SoakRecord
from maddercart.rig.processes.tier import Tier

SYSTEM_CALL_FAULT_SHARE = 0.01  # of the calls on sockets, in soaks with an odd seed


@dataclass(frozen=True)
class SoakResult:
    seed: int
    requests: int
    answered: int  # requests with the status 200
    attempts: int
    events: list[str]  # "SECONDS NAME" of each fault that was played
    broken: list[str]  # one line for each violation of a rule


async def soak(seed: int, duration_seconds: float, folder: Path | None = None) -> SoakResult:
    """Runs one soak; the sidecars' logs and configurations are kept in `folder` if it is given."""
    with tempfile.TemporaryDirectory() as temporary:
        faults = f"{seed}:{SYSTEM_CALL_FAULT_SHARE}" if seed % 2 else ""
        async with Tier(folder or Path(temporary), seed, upstreams=8, faults=faults) as tier:
            for upstream in tier.upstreams:
                upstream.reset_share = 0.02
            record = SoakRecord()
            schedule = FaultSchedule(tier, record)
            tier.set_random_clock_offsets()
            for sidecar in tier.sidecars:
                sidecar.start()
                schedule.record_start(sidecar)
            await tier.wait_until_ready()
            tier.begin_clients(each=6, pause=0.04, span=duration_seconds)
            await schedule.run(duration_seconds)
            await tier.clients_done()
            answered = sum(request.status == 200 for request in tier.asked)
            violations = RuleChecker(tier, record).violations()
            return SoakResult(seed, len(tier.asked), answered, len(tier.attempts), record.events, violations)


def run_soak(seed: int, span: float, logs: Path | None = None) -> SoakResult:
    """Runs `soak` for `span` seconds in an event loop of its own.

    `logs` is a folder in which the logs and configurations are kept, in a subfolder named by the seed.
    """
    folder = None if logs is None else logs / str(seed)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(soak(seed, span, folder))
