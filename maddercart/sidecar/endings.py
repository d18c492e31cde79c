"""How a dispatch's connection can end, and what that means to the module."""

from enum import Enum, auto
from typing import Final

from maddercart.interface import CANCELLED, DONE, ERROR, FULL, MOOT, RESET, TIMED_OUT, UNREACHABLE


class Ending(Enum):
    NO_ADDRESS = auto()  # the upstream has left the list meanwhile
    NO_DESCRIPTOR = auto()  # no socket, port or buffer of ours is left for a further connection
    WITHDRAWN = auto()  # told to drain, gone or moved before the first byte was written
    REFUSED = auto()  # the connection was refused
    NEVER_CAME_UP = auto()  # within the time for that or within the dispatch's own
    BROKE_UNWRITTEN = auto()  # before the request's last byte was written
    TIME_UP_UNWRITTEN = auto()  # the time was up before that
    BROKE_KEPT = auto()  # after it, with nothing come back, on a connection that had been kept
    BROKE_WRITTEN = auto()  # after it, with no whole answer, or on a connection of its own
    MALFORMED = auto()  # what came back is no answer, or over the limit
    ANSWERED = auto()  # 200 and a whole body
    TURNED_AWAY = auto()  # 503 or 504, and it says that it never ran
    FAILED = auto()  # any other status: it may have run
    TIME_UP = auto()  # nothing came in time
    CLOSED_BY_US = auto()  # the module did not want it any more
    FAULT = auto()  # our own code failed on it


# What is not known never to have run may have run: all but the first seven and TURNED_AWAY. What was not
# tried (the first three) is MOOT, which the module holds against no upstream; nor does it a kept connection
# that broke: upstreams and what is between close those at any time, and one that has died refuses a new one.
OUTCOMES: Final = {
    Ending.NO_ADDRESS: MOOT,
    Ending.NO_DESCRIPTOR: MOOT,
    Ending.WITHDRAWN: MOOT,
    Ending.REFUSED: UNREACHABLE,
    Ending.NEVER_CAME_UP: UNREACHABLE,
    Ending.BROKE_UNWRITTEN: UNREACHABLE,
    Ending.TIME_UP_UNWRITTEN: UNREACHABLE,
    Ending.BROKE_KEPT: CANCELLED,
    Ending.BROKE_WRITTEN: RESET,
    Ending.MALFORMED: ERROR,
    Ending.ANSWERED: DONE,
    Ending.TURNED_AWAY: FULL,
    Ending.FAILED: ERROR,
    Ending.TIME_UP: TIMED_OUT,
    Ending.CLOSED_BY_US: CANCELLED,
    Ending.FAULT: ERROR,
}


def of_status(status: int, never_ran: bool) -> Ending:
    if status == 200:
        return Ending.ANSWERED
    return Ending.TURNED_AWAY if never_ran and status in (503, 504) else Ending.FAILED
