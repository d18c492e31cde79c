"""Soaks: real sidecar processes under faults drawn by a seed, judged by the operators' rules."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from maddercart.rig.processes.judge import Judge
from maddercart.rig.processes.plan import Happened, Plan
from maddercart.rig.processes.tier import Tier

SYSTEM_CALL_FAULTS = 0.01  # share of the calls on sockets that fail, in every second soak


@dataclass(frozen=True)
class SoakResult:
    seed: int
    requests: int
    answered: int  # with 200
    attempts: int
    events: list[str]
    broken: list[str]


async def soak(seed: int, span: float, folder: Path | None = None) -> SoakResult:
    """One soak of so many seconds; the sidecars' logs and configurations are left in `folder`."""
    with tempfile.TemporaryDirectory() as temporary:
        faults = f"{seed}:{SYSTEM_CALL_FAULTS}" if seed % 2 else ""
        async with Tier(folder or Path(temporary), seed, upstreams=8, faults=faults) as tier:
            for upstream in tier.upstreams:
                upstream.errors = 0.02
            happened = Happened()
            plan = Plan(tier, happened)
            tier.step_clocks_at_random()
            for sidecar in tier.sidecars:
                sidecar.start()
                plan.began(sidecar)
            await tier.ready()
            tier.begin_clients(each=6, pause=0.04, span=span)
            await plan.run(span)
            await tier.clients_done()
            answered = sum(asked.status == 200 for asked in tier.asked)
            broken = Judge(tier, happened).broken()
            return SoakResult(seed, len(tier.asked), answered, len(tier.attempts), happened.events, broken)


def run_soak(seed: int, span: float, logs: Path | None = None) -> SoakResult:
    """As `soak`, in an event loop of its own; `logs`: a folder that gets one for each seed."""
    folder = None if logs is None else logs / str(seed)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(soak(seed, span, folder))
