"""How a dispatch can end, and the outcome that the balancer is told for each ending."""

from enum import Enum, auto
from typing import Final

from maddercart.interface import CANCELLED, DONE, FAILED, NOT_WRITTEN, REJECTED, RESET, TIMED_OUT, UNREACHABLE


class Ending(Enum):
    """How a dispatch ended. Members up to TIME_UP_UNWRITTEN, and TURNED_AWAY, mean that the query never
    ran."""

    NO_ADDRESS = auto()  # the upstream has left the list since it was chosen
    NO_DESCRIPTOR = auto()  # no local socket, port or buffer was left for a new connection
    # Before the first byte the upstream drained, left or moved, or the list was not known in time.
    WITHDRAWN = auto()
    REFUSED = auto()  # the connection was refused
    NEVER_CAME_UP = auto()  # not connected within the connect timeout or the dispatch's own limit
    BROKE_UNWRITTEN = auto()  # the connection broke before the last byte of the request was written
    TIME_UP_UNWRITTEN = auto()  # the limit passed before the last byte of the request was written
    BROKE_KEPT = auto()  # a reused connection broke after the request, before any byte of an answer
    BROKE_WRITTEN = (
        auto()
    )  # broke after the request without a whole answer: a new connection, or part had come
    MALFORMED = auto()  # the answer is not valid HTTP, or is over a size limit
    ANSWERED = auto()  # 200 and a whole body
    TURNED_AWAY = auto()  # 503 or 504, and the answer says that the query never ran
    FAILED = auto()  # any other status: it may have run
    TIME_UP = auto()  # no whole answer came within the limit
    CLOSED_BY_US = auto()  # the balancer cancelled the dispatch
    FAULT = auto()  # an exception in the sidecar's own code


# A query may have run unless it is known never to have run: see `Ending`. What was not tried (the first
# three) is NOT_WRITTEN, which the balancer holds against no upstream. Nor does it hold a reused connection
# that broke against the upstream: upstreams and the network between close those at any time, and an upstream
# that has died refuses a new connection.
OUTCOME_BY_ENDING: Final = {
    Ending.NO_ADDRESS: NOT_WRITTEN,
    Ending.NO_DESCRIPTOR: NOT_WRITTEN,
    Ending.WITHDRAWN: NOT_WRITTEN,
    Ending.REFUSED: UNREACHABLE,
    Ending.NEVER_CAME_UP: UNREACHABLE,
    Ending.BROKE_UNWRITTEN: UNREACHABLE,
    Ending.TIME_UP_UNWRITTEN: UNREACHABLE,
    Ending.BROKE_KEPT: CANCELLED,
    Ending.BROKE_WRITTEN: RESET,
    Ending.MALFORMED: FAILED,
    Ending.ANSWERED: DONE,
    Ending.TURNED_AWAY: REJECTED,
    Ending.FAILED: FAILED,
    Ending.TIME_UP: TIMED_OUT,
    Ending.CLOSED_BY_US: CANCELLED,
    Ending.FAULT: FAILED,
}


def ending_of_status(status: int, never_ran: bool) -> Ending:
    """The ending for a whole answer; `never_ran`: the answer says that the query never ran."""
    if status == 200:
        return Ending.ANSWERED
    return Ending.TURNED_AWAY if never_ran and status in (503, 504) else Ending.FAILED
