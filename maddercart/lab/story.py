"""A trace of one wish or one server, recorded during a run."""

from typing import TYPE_CHECKING

from maddercart.interface import (
    CANCELLED,
    DONE,
    FAILED,
    NOT_WRITTEN,
    REJECTED,
    RESET,
    SECOND,
    TIMED_OUT,
    UNREACHABLE,
)  # fmt: skip

if TYPE_CHECKING:
    from maddercart.lab.sidecars import Dispatch, Query
    from maddercart.lab.world import World

OUTCOME_NAMES = {DONE: "done", FAILED: "error", REJECTED: "full", TIMED_OUT: "timed out",
       UNREACHABLE: "unreachable", RESET: "reset", CANCELLED: "cancelled", NOT_WRITTEN: "moot"}  # fmt: skip


class Story:
    """Records the events of one wish (all its tries) or of one server, as lines of (seconds, text).

    `start` and `end` bound the simulated time in seconds; -1 as `wish` or `server` means none.
    """

    MAX_LINES = 10_000

    def __init__(self, wish: int = -1, server: int = -1, start: float = 0.0, end: float = 1e9) -> None:
        self.wish, self.server = wish, server
        self.start_ns, self.end_ns = start * SECOND, end * SECOND
        self.lines: list[tuple[float, str]] = []
        # The sidecar that handles the wish, whose notes are traced too; -1: not known yet.
        self.sidecar_number = -1

    def attach(self, world: "World") -> None:
        """Sets the names shown for servers and offerings; called before the run."""
        self.server_names = [
            f"{server.number} ({world.scenario.zones[server.zone].name})" for server in world.servers
        ]
        self.offering_names = [terms.name for terms in world.scenario.offerings]

    def add(self, now: int, text: str) -> None:
        if self.start_ns <= now <= self.end_ns and len(self.lines) < self.MAX_LINES:
            self.lines.append((now / SECOND, text))

    def query_sent(self, now: int, query: "Query") -> None:
        if query.wish == self.wish:
            self.sidecar_number = query.sidecar.number
            self.add(now, f"try {query.try_number}, query {query.number}: "
                          f"{self.offering_names[query.offering]} at sidecar {query.sidecar.number}, "
                          f"{query.work_ns / 1e6:.1f} ms of work, to be answered within "
                          f"{(query.hard_stop_at - now) / 1e6:.0f} ms")  # fmt: skip

    def dispatch_sent(self, now: int, dispatch: "Dispatch") -> None:
        query, server = dispatch.query, dispatch.server
        if query.wish == self.wish:
            state = "up" if server.reachable() else "down, silent or cut off"
            self.add(now, f"dispatch {dispatch.shot} to server {self.server_names[server.number]}, {state}, "
                          f"holding {server.held_count()} ({len(server.queue)} waiting)")  # fmt: skip
        elif server.number == self.server:
            self.add(now, f"sidecar {dispatch.sidecar.number} sends query {query.number} (wish {query.wish})")

    def dispatch_started(self, now: int, dispatch: "Dispatch") -> None:
        if dispatch.query.wish == self.wish:
            self.add(
                now,
                f"dispatch {dispatch.shot} begins, {(now - dispatch.sent_at) / 1e6:.1f} ms after it was sent",
            )
        elif dispatch.server.number == self.server:
            self.add(now, f"query {dispatch.query.number} begins; {dispatch.server.held_count()} held")

    def dispatch_ended(self, now: int, dispatch: "Dispatch", outcome: int) -> None:
        elapsed = f"after {(now - dispatch.sent_at) / 1e6:.1f} ms"
        if dispatch.query.wish == self.wish:
            self.add(now, f"dispatch {dispatch.shot} ends: {OUTCOME_NAMES[outcome]}, {elapsed}")
        elif dispatch.server.number == self.server:
            self.add(
                now,
                f"query {dispatch.query.number} of sidecar {dispatch.sidecar.number} ends: "
                f"{OUTCOME_NAMES[outcome]}, {elapsed}",
            )

    def query_answered(self, now: int, query: "Query", outcome: str, retry_after: int) -> None:
        if query.wish == self.wish:
            retry_text = f", come back after {retry_after / 1e6:.0f} ms" if retry_after else ""
            self.add(
                now,
                f"final answer: {outcome}{retry_text}, {(now - query.sent_at) / 1e6:.1f} ms after it came",
            )

    def policy_note(self, now: int, sidecar: int, text: str) -> None:
        if sidecar == self.sidecar_number or (self.server >= 0 and text.split()[-1] == str(self.server)):
            self.add(now, f"sidecar {sidecar} notes: {text}")
