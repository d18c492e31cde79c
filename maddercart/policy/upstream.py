"""One upstream as a sidecar knows it, and what an answer of it is expected to take."""

from collections import deque
from collections.abc import Sequence

from maddercart.interface import SECOND, Entry, Report


class Upstream:
    """One upstream as this sidecar knows it: its line on the list and what came back from it."""

    SAMPLES = 8  # enough for a median that one odd answer cannot move, few enough to follow a change
    MANY = 32  # answers, the time between which is known within a fifth
    FEW = 4  # fewer answers than this are filled up with the middle one of all: one odd answer is no queue
    TOLD = 4  # a list a second: the last figure alone tells nothing of the next answer, more are too old
    HEARD = SECOND // 2  # an older report, or answer, tells of a queue that has turned

    def __init__(self, entry: Entry, out: dict[tuple[int, int], tuple[int, int]]) -> None:
        self.entry, self.size, self.told, self.warm_at, self.spent_until = entry, 1.0, 1.0, 0, 0
        self.rank = 0.0  # by our number, once it was ready: the list of 1,200 is laid anew at each change
        self.shares: deque[float] = deque(maxlen=self.TOLD)  # 1 over the list's last figures of it
        self.most = self.crowd = 0.0  # the figure when it was idle; held a core, and one more
        self.out = out  # dispatch: when sent, how many were out
        self.samples: deque[tuple[int, int, int]] = deque(maxlen=self.SAMPLES)  # end, duration, out then
        self.ends: deque[int] = deque(maxlen=self.MANY)  # when the last answers came
        self.sent_cold: deque[int] = deque()  # when it was sent each of the last queries while cold
        self.report: tuple[int, Report] | None = None  # when heard
        self.failures = self.pauses = self.full_at = 0  # in a row, below 0 successes; since it was last well
        self.broke, self.unsure = False, (0, 0)  # refused or broke, no answer since; cold until, and then
        self.canary_due, self.canary_out, self.probe_out = 0, False, False  # due: set while ejected

    def renumber(self, zones: Sequence[int], kinds: Sequence[int]) -> None:  # -1: there is none any more
        zone, kind, self.unsure, self.rank = self.entry.zone, self.entry.kind, (0, 0), 0.0
        zone = zones[zone] if 0 <= zone < len(zones) else -1
        self.entry = self.entry._replace(zone=zone, kind=kinds[kind] if kind < len(kinds) else kind)

    def lives(self, now: int) -> bool:  # it has answered lately, or the list tells that it holds something
        answered = bool(self.samples) and now - self.samples[-1][0] < self.HEARD
        return answered or (self.crowd > 0 and self.shares[-1] * self.most > 1)

    def reported(self, now: int, typical: int) -> int:  # by its report, while that is fresh
        at, told = self.report or (now - self.HEARD, Report(-1, -1, -1, -1))
        held = max(self.size, told.held + 1, told.waiting + self.size) if now - at < self.HEARD else 0
        return int(typical * held / self.size)

    def expected(self, now: int, typical: int, pace: int, growth: float, fresh: int) -> int:
        """Of one more query here: by its last answers while fresh, else its zone's; `growth` is a root."""
        out, fade, here = len(self.out), 0.0, 0.0
        if self.samples:
            durations = [duration for _, duration, _ in self.samples]
            durations = sorted(durations + [typical] * (self.FEW - len(durations)))
            base = durations[len(durations) // 2]
            then = sum([then for _, _, then in self.samples]) / len(self.samples)
            fade = max(0.0, 1 - (now - self.samples[-1][0]) / fresh)
            each = base / max(self.size, then + 1)
            here = max(base + growth * (out - then) * each, each)  # a queue that has gone turns none away
        else:
            pace += int(max(0.0, (growth * out + 1) / self.size - 1) * typical)
        estimate = fade * here + (1 - fade) * max(pace, self.reported(now, typical))
        return int(max(estimate, now - next(iter(self.out.values()))[0] if self.out else 0))
