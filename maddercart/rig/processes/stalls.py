"""Records when the process of a soak stalled: what it stamps meanwhile comes late."""

import asyncio
import time
from dataclasses import dataclass

CHECK_INTERVAL_SECONDS = 0.01
SHORTEST_SECONDS = 0.05  # of a stall that is recorded


@dataclass(frozen=True)
class Stall:
    """A span in which the event loop ran nothing (monotonic seconds)."""

    began_at: float
    ended_at: float


class StallMonitor:
    """Finds stalls of the event loop by a timer that comes late."""

    def __init__(self) -> None:
        self.stalls: list[Stall] = []

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_SECONDS
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            if now - due_at >= SHORTEST_SECONDS:
                self.stalls.append(Stall(due_at, now))

    def describe_within(self, since: float, until: float) -> str:
        """The stalls that touch a span, as a text for a violation."""
        touching = [each for each in self.stalls if each.began_at <= until and since <= each.ended_at]
        spans = [f"{each.began_at:.3f} to {each.ended_at:.3f}" for each in touching]
        return f"the soak itself stalled {', '.join(spans)}" if spans else "the soak did not stall"
