"""Which connections of the application are given up when slots or memory are short."""

import logging
from collections import Counter
from collections.abc import Callable

from maddercart.interface import SECOND
from maddercart.net.loop import DEADLINE_PASSED, Loop, Task
from maddercart.sidecar.application_connection import (
    EVICTABLE_AFTER_NS,
    EVICTABLE_FOR_MEMORY_NS,
    ApplicationConnection,
    Phase,
)
from maddercart.sidecar.memory import RELIEVED_SHARE, ROOM_POLL_NS, MemoryLedger, memory_figures

log = logging.getLogger(__name__)

SHORTAGE_LOG_INTERVAL_NS = SECOND

# The connections in each phase and when they entered it, the longest first.
Phases = dict[Phase, dict[ApplicationConnection, int]]


def phase_counts(phases: Phases) -> dict[str, int]:
    return {phase.name.lower(): len(members) for phase, members in phases.items() if members}


class Evictor:
    """Ends connections of one listener, those that lose least and have been longest in their phase first."""

    def __init__(
        self, loop: Loop, clock: Callable[[], int], counts: Counter[str], ledger: MemoryLedger, phases: Phases
    ) -> None:
        self.loop, self.clock, self.counts, self.ledger, self.phases = loop, clock, counts, ledger, phases
        ledger.relievers.add(self)
        self.relieved_at = self.shortage_logged_at = 0  # when memory was last looked for

    def make_room(self) -> bool:
        """Evicts the connection that has been longest in its phase; true if a slot is free now or soon.
        Clients that asked once and kept their connection could otherwise hold all slots and keep out
        clients with queries."""
        now = self.clock()
        for phase, evictable_after in EVICTABLE_AFTER_NS.items():
            for connection, since in self.phases[phase].items():
                if now - since < evictable_after:
                    break
                if connection.task is not None and (phase == Phase.REFUSED or connection.is_silent()):
                    return self.evict(connection, connection.task)
        return False

    def evict(self, connection: ApplicationConnection, task: Task) -> bool:
        """True if the slot is free now or soon. A request that was read in part is answered before its
        connection is closed."""
        if connection.phase != Phase.PART:
            self.counts["crowded_out"] += 1
            self.loop.close(task)
            return True
        if self.phases[Phase.REFUSED]:  # a refused connection will free its slot in a moment
            return False
        connection.phase_deadline = self.clock()
        self.loop.resume(task, DEADLINE_PASSED)
        return True

    def relieve_memory(self) -> None:
        """Gives up what connections hold that have been longest in their phase: requests of which no more
        comes, and answers that are not read."""
        now = self.clock()
        if now - self.relieved_at < ROOM_POLL_NS:
            return
        self.relieved_at = now
        if now - self.shortage_logged_at >= SHORTAGE_LOG_INTERVAL_NS:
            self.shortage_logged_at = now
            log.warning("memory is short", extra={**memory_figures(self.ledger), **phase_counts(self.phases)})
        wanted_bytes = self.ledger.bytes_over(RELIEVED_SHARE)
        for phase, evictable_after in EVICTABLE_FOR_MEMORY_NS.items():
            for connection, since in list(self.phases[phase].items()):
                if now - since < evictable_after or wanted_bytes <= 0:
                    break
                if connection.task is not None and connection.account.is_large():
                    wanted_bytes -= connection.account.total
                    self.evict_for_memory(connection, connection.task)

    def evict_for_memory(self, connection: ApplicationConnection, task: Task) -> None:
        self.counts["evicted_for_memory"] += 1
        if connection.phase == Phase.PART:
            connection.evicted_for_memory = True
            self.loop.wake(task)
        else:
            self.loop.close(task)
