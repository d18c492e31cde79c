"""Judges a soak by what clients, upstreams and discovery noted; shares no code with the sidecar.

What counts as told, and each bound, is written out here from the operators' pages.
"""

from collections import defaultdict

from maddercart.rig.processes.clients import Asked
from maddercart.rig.processes.plan import Happened, Life
from maddercart.rig.processes.sidecar import GRACE
from maddercart.rig.processes.tier import Tier
from maddercart.rig.processes.upstreams import Attempt

HOLD_UP = 0.15 + 0.05  # seconds: between a sidecar's look at its clock and a write, and on sockets
TOLD_WITHIN = 6.0  # seconds after discovery had a change and could be reached
LEFT_WITHIN = 0.1 + 0.05  # seconds after its client left in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds
NEVER = float("inf")


class Judge:
    def __init__(self, tier: Tier, happened: Happened) -> None:
        self.tier, self.happened = tier, happened

    def broken(self) -> list[str]:
        """A line for each break of a rule."""
        return [*self.lost(), *self.duplicates(), *self.drains(), *self.attempts(), *self.crashes()]

    def crashes(self) -> list[str]:
        codes = [code for code in self.happened.exit_codes if code != 0]
        codes += [code for sidecar in self.tier.sidecars for code in sidecar.crashes]
        return [f"crash: a sidecar ended with {code}" for code in codes]

    # -- requests

    def excused(self, asked: Asked) -> bool:
        """Its sidecar was killed while it held the request."""
        ended = asked.answered_at or asked.sent_at + asked.waits + 1
        lives = [life for life in self.happened.lives if life.sidecar == asked.sidecar and life.killed]
        return any(asked.sent_at - 0.1 <= life.ended_at <= ended for life in lives)

    def lost(self) -> list[str]:
        lost = [asked for asked in self.tier.asked if asked.lost and not self.excused(asked)]
        return [
            f"lost: {asked.trace} at {asked.sidecar}, {asked.sent_at:.3f}: {asked.lost}" for asked in lost
        ]

    def duplicates(self) -> list[str]:
        runs: dict[str, int] = defaultdict(int)
        for attempt in self.tier.attempts:
            runs[attempt.trace] += attempt.ran
        once = {asked.trace for asked in self.tier.asked if asked.offering == "once"}
        return [f"duplicate: {trace} ran {runs[trace]} times" for trace in sorted(once) if runs[trace] > 1]

    def attempts(self) -> list[str]:
        """None begins after its client has left, and none is told more time than its client has."""
        asked = {one.trace: one for one in self.tier.asked}
        broken = []
        for attempt in self.tier.attempts:
            if (one := asked.get(attempt.trace)) is None:
                continue
            if one.left_at and attempt.first_byte_at > one.left_at + LEFT_WITHIN:
                late = attempt.first_byte_at - one.left_at
                broken.append(f"lost: {one.trace} was begun {late:.3f} s after its client left")
            left = one.sent_at + one.waits - attempt.first_byte_at
            if attempt.expires_in > left + DEADLINE_SLACK:
                broken.append(f"deadline: {one.trace} was told {attempt.expires_in:.3f} s of {left:.3f}")
        return broken

    # -- drains

    def drains(self) -> list[str]:
        broken = []
        for attempt in self.tier.attempts:
            version = self.closed_by(attempt)
            life = self.life(attempt)
            if version is None or life is None:
                continue
            late = attempt.first_byte_at - self.told(life, version)
            if late > GRACE + HOLD_UP:
                where = f"{attempt.host} from {attempt.sidecar} at {attempt.first_byte_at:.3f}"
                broken.append(f"drain: {attempt.trace} to {where}, {late:.3f} s after it was told")
        return broken

    def closed_by(self, attempt: Attempt) -> int | None:
        """The version by which its upstream had left, None if it was serving."""
        closed: int | None = None
        for version in self.tier.registry.versions:
            if version.made_at > attempt.first_byte_at:
                break
            for line in version.lines:
                if line["host"] == attempt.host:
                    serving = line["health"] == "SERVING"
                    closed = None if serving else version.number if closed is None else closed
        return closed

    def life(self, attempt: Attempt) -> Life | None:
        lives = [life for life in self.happened.lives if life.sidecar == attempt.sidecar]
        at = attempt.first_byte_at
        return next((life for life in reversed(lives) if life.started_at <= at), None)

    def told(self, life: Life, version: int) -> float:
        """When a version counts as told to a process: as it was written, or 6 s after it could be had."""
        made_at = self.tier.registry.versions[version].made_at
        told = NEVER
        for use in [use for use in self.happened.uses if use.sidecar == life.sidecar]:
            writes = [at for at, number in use.service.written if number >= version]
            told = min([told, *(at for at in writes if life.started_at <= at <= life.ended_at)])
            start = max(made_at, use.since, life.started_at)
            for well_from, well_until in use.service.well():
                had = max(start, well_from)
                if had + TOLD_WITHIN <= min(well_until, use.until):
                    told = min(told, had + TOLD_WITHIN)
        return told
