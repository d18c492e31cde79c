"""The ledger of what connections, queries and answers hold of the process's memory.

Amounts are estimates in bytes: what is received, times what it takes once parsed, plus a fixed amount for
each connection and query. Small requests and answers are always read, so that the usual clients go on while
others have taken the rest; what is larger is read only while there is room.
"""

import os
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum, auto
from pathlib import Path
from typing import Protocol
from weakref import WeakSet

from maddercart.net.loop import Wait

MEGABYTE_BYTES = 1 << 20
KILOBYTE_BYTES = 1 << 10

APPLICATION_CONNECTION_BYTES = 6 * KILOBYTE_BYTES
UPSTREAM_CONNECTION_BYTES = 6 * KILOBYTE_BYTES
QUERY_BYTES = 8 * KILOBYTE_BYTES  # with its attempt, without header fields and body
FIELD_BYTES = 200  # of a parsed header field, beside its text
BODY_COPIES = 2  # a body is copied once to be sent on

SMALL_BYTES = 4 * KILOBYTE_BYTES  # of input or of an answer, read whether there is room or not

# Shares of the limit up to which each use may fill the ledger. Answers end queries, and so free memory.
REQUEST_SHARE, AHEAD_SHARE, ANSWER_SHARE = 0.7, 0.5, 0.9
RELIEVED_SHARE = 0.6  # down to which clients that hold it longest give up what they hold
CONNECTION_SHARE = 0.4  # for the connections of the application, each with a query

# Of the limit of the process, for what the ledger doesn't estimate: fragments, buffers of single reads.
RESERVE_SHARE, MIN_RESERVE_BYTES = 0.1, 3 * MEGABYTE_BYTES
ANSWER_BODY_SHARE = 0.0375  # of the limit of the process, for the body of one answer
MIN_LIMIT_BYTES = 2 * MEGABYTE_BYTES  # with less no client could be served
UNLIMITED_BYTES = 1 << 62  # where nothing is held for clients
DEFAULT_OWN_BYTES = 20 * MEGABYTE_BYTES  # of the program, where the system doesn't tell

ROOM_POLL_NS = 50_000_000  # between two looks for room


class MemoryUse(Enum):
    """What memory is held for."""

    CONNECTIONS = auto()  # of the application, with nothing received
    PARTS = auto()  # requests that were received in part
    AHEAD = auto()  # input behind the request that is being answered
    QUERIES = auto()  # whole requests that have no answer yet
    ANSWERS = auto()  # being received or written
    UPSTREAMS = auto()  # connections to upstreams
    KEYS = auto()  # of rate limits


class Reliever(Protocol):
    def relieve_memory(self) -> None:
        """Gives up some of what is held for clients that don't go on."""


class MemoryLedger:
    """Sums what is held for each use. One ledger serves all listeners and pools of a process."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.relievers: WeakSet[Reliever] = WeakSet()  # of all listeners
        self.held = dict.fromkeys(MemoryUse, 0)
        self.total = self.peak = 0

    def add(self, use: MemoryUse, change_bytes: int) -> None:
        self.held[use] += change_bytes
        self.total += change_bytes
        self.peak = max(self.peak, self.total)

    def relieve(self) -> None:
        """To be called while something is not read for want of memory."""
        for reliever in list(self.relievers):
            reliever.relieve_memory()

    def has_room(self, share: float) -> bool:
        """Whether less than `share` of the limit is held."""
        return self.total < share * self.limit_bytes

    def bytes_over(self, share: float) -> int:
        """How much more than `share` of the limit is held; negative if it is less."""
        return self.total - int(share * self.limit_bytes)

    def max_connections(self) -> int:
        """How many connections of the application the limit has room for."""
        return max(2, int(CONNECTION_SHARE * self.limit_bytes / (APPLICATION_CONNECTION_BYTES + QUERY_BYTES)))

    def figures(self) -> dict[str, int]:
        """Kilobytes held by use, and the highest sum since the last call."""
        held = {f"held_{use.name.lower()}_kb": held // KILOBYTE_BYTES for use, held in self.held.items()}
        peak, self.peak = self.peak, self.total
        return {
            **held,
            "held_peak_kb": peak // KILOBYTE_BYTES,
            "held_limit_kb": self.limit_bytes // KILOBYTE_BYTES,
        }


class MemoryAccount:
    """What one connection or answer holds."""

    __slots__ = ("amounts", "ledger")

    def __init__(self, ledger: MemoryLedger) -> None:
        self.ledger = ledger
        self.amounts: dict[MemoryUse, int] = {}

    def hold(self, use: MemoryUse, amount_bytes: int) -> None:
        """Replaces what is held for one use."""
        if change := amount_bytes - self.amounts.get(use, 0):
            self.ledger.add(use, change)
            self.amounts[use] = amount_bytes

    def amount(self, use: MemoryUse) -> int:
        return self.amounts.get(use, 0)

    @property
    def total(self) -> int:
        return sum(self.amounts.values())

    def is_large(self) -> bool:
        """Whether more is held than is read whether there is room or not."""
        return self.total > SMALL_BYTES + APPLICATION_CONNECTION_BYTES

    def close(self) -> None:
        """Gives back all that is held."""
        for use in list(self.amounts):
            self.hold(use, 0)

    def readable_bytes(self, use: MemoryUse, share: float, wanted_bytes: int) -> int:
        """How much of `wanted_bytes` may be read now for a use that may fill `share` of the limit."""
        if self.ledger.has_room(share):
            return wanted_bytes
        return min(wanted_bytes, max(0, SMALL_BYTES - self.amount(use)))


def head_bytes(fields: Sequence[tuple[bytes, bytes]]) -> int:
    """What the parsed header fields of a message take."""
    return sum(FIELD_BYTES + 2 * len(name) + len(value) for name, value in fields)


def own_memory_bytes() -> int | None:
    """The memory that the process holds for itself, without files; None if the system doesn't tell."""
    with suppress(OSError, ValueError, IndexError):
        resident, shared = Path("/proc/self/statm").read_text().split()[1:3]
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")
    return None


def ledger_limit(memory_mb: float, own_bytes: int) -> int:
    """What connections may hold: the process's limit less the program's own need and a reserve."""
    memory_bytes = int(memory_mb * MEGABYTE_BYTES)
    reserve = max(MIN_RESERVE_BYTES, int(RESERVE_SHARE * memory_bytes))
    return max(MIN_LIMIT_BYTES, memory_bytes - own_bytes - reserve)


class ProcessMemory:
    """The memory limit of a process: what the program itself needs, and the ledger for the rest."""

    def __init__(self, memory_mb: float) -> None:
        self.own_bytes = DEFAULT_OWN_BYTES
        self.ledger = MemoryLedger(ledger_limit(memory_mb, self.own_bytes))

    def measure_own(self) -> None:
        """To be called once the program is set up and before it serves; takes effect with the next limit."""
        self.own_bytes = own_memory_bytes() or DEFAULT_OWN_BYTES

    def set_limit(self, memory_mb: float) -> None:
        self.ledger.limit_bytes = ledger_limit(memory_mb, self.own_bytes)


def memory_figures(ledger: MemoryLedger) -> dict[str, int]:
    """For the log, in kilobytes: the process's own memory and what the ledger holds."""
    return {"own_kb": (own_memory_bytes() or 0) // KILOBYTE_BYTES, **ledger.figures()}


def answer_body_limit(memory_mb: float) -> int:
    """The largest body of an answer, in bytes."""
    return int(memory_mb * MEGABYTE_BYTES * ANSWER_BODY_SHARE)


def wait_for_room(clock: Callable[[], int], deadline: int) -> Wait:
    """What a coroutine that found no room waits for before it looks again."""
    return Wait(deadline=min(deadline, clock() + ROOM_POLL_NS))
