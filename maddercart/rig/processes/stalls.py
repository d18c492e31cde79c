"""Records when the process of a soak was held up itself: what it stamped then, it stamped too late."""

import asyncio
import time
from dataclasses import dataclass

CHECK_INTERVAL_SECONDS = 0.01
SHORTEST_SECONDS = 0.05  # of a hold-up that is recorded


@dataclass(frozen=True)
class HoldUp:
    """A span in which the event loop ran nothing (monotonic seconds)."""

    began_at: float
    ended_at: float


class HoldUpMonitor:
    """Finds hold-ups of the event loop by a timer that comes late."""

    def __init__(self) -> None:
        self.hold_ups: list[HoldUp] = []

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_SECONDS
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            if now - due_at >= SHORTEST_SECONDS:
                self.hold_ups.append(HoldUp(due_at, now))

    def describe_within(self, since: float, until: float) -> str:
        """The hold-ups that touch a span, as a text for a violation."""
        touching = [each for each in self.hold_ups if each.began_at <= until and since <= each.ended_at]
        spans = [f"{each.began_at:.3f} to {each.ended_at:.3f}" for each in touching]
        return f"the soak itself was held up {', '.join(spans)}" if spans else "the soak was not held up"
