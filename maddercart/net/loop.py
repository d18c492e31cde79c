"""An event loop for coroutines that are plain generators.

A coroutine yields a `Wait` and is resumed with the reason for which the wait ended: epoll events,
DEADLINE_PASSED or WOKEN. A turn of the loop polls epoll once, resumes the coroutines that waited for the
reported events, ordered by rank, then those that were woken, and then runs the timers that are due. Of the
lowest rank a turn resumes a limited number, and the others first in the next turn, so that the number of
peers that send at once does not decide how long a turn lasts. All times are in nanoseconds of the loop's
clock.
"""

import logging
import select
from collections.abc import Callable, Generator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.system_calls import SYSTEM_CALLS, SystemCalls

log = logging.getLogger(__name__)

READ, WRITE, NO_EVENTS = select.EPOLLIN, select.EPOLLOUT, 0

# A timer that is later than this is logged: it is more than a turn with many queries takes, and more than a
# response may be late.
LATE_TIMER_NS = 50 * MILLISECOND

NEVER = 1 << 62  # later than any time of a clock

MAX_POLL_SECONDS = 60.0  # epoll refuses some weeks and more

# Reasons for resuming a coroutine other than epoll events, which are greater than zero.
DEADLINE_PASSED = 0
WOKEN = -1

# Ranks, which order the coroutines of a turn: those that finish work run before those that start more, and
# those of peers that have sent much at once come last.
RANK_FIRST, RANK_SOON, RANK_LAST, RANK_BACKLOG = 0, 1, 2, 3
# Coroutines of the last two ranks resumed in a turn, by number and by time; each handles at most one request.
MAX_LAST_RESUMPTIONS, MAX_LAST_NS = 64, 10 * MILLISECOND
# Of these, what RANK_LAST leaves to RANK_BACKLOG, which goes on while others come without end.
BACKLOG_RESUMPTIONS, BACKLOG_NS = 16, 3 * MILLISECOND


class Wait(NamedTuple):
    """What a coroutine waits for.

    With `fd` -1 it waits only for `deadline` and for `Loop.wake`. `events` is an epoll mask.
    `deadline` is an instant of the loop's clock; None means no deadline. With `next_turn` it is woken in the
    next turn.
    """

    fd: int = -1
    events: int = NO_EVENTS
    deadline: int | None = None
    next_turn: bool = False


# Yielded between the messages of one read, so that other coroutines run and timers fire in between.
NEXT_TURN = Wait(next_turn=True)


class DueResumption(NamedTuple):
    """Why a coroutine is to be resumed."""

    resumptions: int  # those of the task when it fell due; it is out of date once the task was resumed
    reason: int
    since: int  # the earliest time at which the event can have occurred


Coroutine = Generator[Wait, int, None]


class TurnBudget:
    """How many coroutines of a rank a turn may still resume, and until when (nanoseconds)."""

    __slots__ = ("duration_ns", "ends_at", "left")

    def __init__(self, resumptions: int, duration_ns: int) -> None:
        self.left, self.duration_ns, self.ends_at = resumptions, duration_ns, NEVER

    def take(self, now: int) -> bool:
        """Whether one more may be resumed; the time counts from the first."""
        self.ends_at = min(self.ends_at, now + self.duration_ns)
        if not self.left or now >= self.ends_at:
            return False
        self.left -= 1
        return True


class Task:
    """A coroutine that the loop runs; `finished` is true once it has ended."""

    __slots__ = ("coroutine", "deadline", "fd", "next_timer", "rank", "resumptions")

    def __init__(self, coroutine: Coroutine, rank: int) -> None:
        self.coroutine: Coroutine | None = coroutine
        self.rank = rank
        self.fd = -1  # the descriptor that it waits for, or -1
        self.deadline = NEVER  # of the current wait
        self.next_timer = NEVER  # the earliest of its timers
        self.resumptions = 0  # a count, which identifies events that were meant for an earlier wait

    @property
    def finished(self) -> bool:
        return self.coroutine is None


class Loop:
    MIN_CLEANUP_TIMERS = 1024  # number of timers up to which those of ended tasks are not removed

    def __init__(self, clock: Callable[[], int], system_calls: SystemCalls = SYSTEM_CALLS) -> None:
        self.clock, self.system_calls = clock, system_calls
        self.epoll = system_calls.epoll()
        self.waiting_tasks: dict[int, Task] = {}  # by descriptor
        self.readable_callbacks: dict[int, Callable[[], None]] = {}  # by descriptor
        self.registered: dict[int, int] = {}  # descriptors in the epoll set and their event masks
        # A heap of time, sequence number and what is resumed or called.
        self.timers: list[tuple[int, int, Task | Callable[[], None]]] = []
        self.clear_threshold = self.MIN_CLEANUP_TIMERS  # number of timers
        self.timer_count = 0  # sequence number: timers of the same time run in the order they were set
        self.woken: list[tuple[Task, int]] = []  # task, its resumption count when it was woken
        self.due: dict[Task, DueResumption] = {}  # to be resumed; between turns those that were put off
        self.stopped = False
        # The time of the last poll, and the earliest time at which its events can have occurred.
        self.polled_at = self.events_since = clock()

    # -- coroutines

    def spawn(self, coroutine: Coroutine, rank: int = RANK_LAST) -> Task:
        """Starts a coroutine immediately and runs it up to its first wait."""
        task = Task(coroutine, rank)
        self.resume(task, WOKEN)
        return task

    def wake(self, task: Task) -> None:
        """Resumes a waiting coroutine in the next turn, which then polls epoll without blocking."""
        if not task.finished:
            self.woken.append((task, task.resumptions))

    def close(self, task: Task) -> None:
        """Ends a coroutine at its current wait; its `finally` clauses run."""
        if (coroutine := task.coroutine) is not None:
            self.unwait(task)
            task.coroutine = None
            try:
                coroutine.close()
            except Exception:  # must not end whoever closes it
                log.exception("coroutine failed at its end")

    def resume(self, task: Task, reason: int) -> None:
        """Runs a coroutine up to its next wait; `reason` is an epoll mask, DEADLINE_PASSED or WOKEN."""
        self.unwait(task)
        task.resumptions += 1
        assert task.coroutine is not None
        coroutine, fault = task.coroutine, None
        while True:
            try:
                if fault is not None:
                    wait = coroutine.throw(fault)
                else:
                    wait = coroutine.send(None if task.resumptions == 1 else reason)  # type: ignore[arg-type]
            except StopIteration:
                task.coroutine = None
                return
            except Exception:
                # A failure on one connection must not affect the others.
                log.exception("coroutine failed")
                task.coroutine = None
                return
            try:
                return self.suspend(task, wait)
            except OSError as error:
                # The descriptor can't be added to the epoll set (ENOSPC): raised as if its connection broke.
                fault = error

    def suspend(self, task: Task, wait: Wait) -> None:
        fd, events, deadline, next_turn = wait
        if next_turn:
            self.wake(task)
        if fd >= 0:
            if self.registered.get(fd) != events:
                self.set_events(fd, events)
            self.waiting_tasks[fd] = task
            task.fd = fd
        if deadline is not None:
            task.deadline = deadline
            # An earlier timer suffices: if it expires before the deadline, it is set again.
            if deadline < task.next_timer:
                task.next_timer = deadline
                self.add_timer(deadline, task)

    def unwait(self, task: Task) -> None:
        task.deadline = NEVER
        if task.fd >= 0:
            if self.waiting_tasks.get(task.fd) is task:
                del self.waiting_tasks[task.fd]
            task.fd = -1

    # -- descriptors

    def set_events(self, fd: int, events: int) -> None:
        """Sets the epoll mask of a descriptor.

        It remains until another one is requested, since most coroutines wait for the same events again and
        each change costs a system call.
        """
        if fd in self.registered:
            self.epoll.modify(fd, events)
        else:
            self.epoll.register(fd, events)
        self.registered[fd] = events

    def call_when_readable(self, fd: int, call: Callable[[], None]) -> None:
        """Calls `call` once the descriptor becomes readable, which needs no coroutine."""
        if self.registered.get(fd) != READ:
            self.set_events(fd, READ)
        self.readable_callbacks[fd] = call

    def remove_callback(self, fd: int) -> None:
        """Removes the callback that was set with `call_when_readable`."""
        self.readable_callbacks.pop(fd, None)

    def unregister(self, fd: int) -> None:
        """Removes a descriptor from the epoll set.

        Required before it is closed, and when it reports events that nothing waits for, which would make the
        loop spin.
        """
        if self.registered.pop(fd, None) is not None:
            self.epoll.unregister(fd)
        self.readable_callbacks.pop(fd, None)
        if (task := self.waiting_tasks.pop(fd, None)) is not None:
            task.fd = -1

    # -- timers

    def call_at(self, when: int, call: Callable[[], None]) -> None:
        """Calls `call` at the time `when`."""
        self.add_timer(when, call)

    def add_timer(self, when: int, target: Task | Callable[[], None]) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, target))
        if len(self.timers) > self.clear_threshold:
            self.remove_ended_timers()

    def remove_ended_timers(self) -> None:
        """Removes the timers of ended tasks.

        Without this they would stay until they expire and keep the objects of their tasks alive, so that the
        heap would grow with the traffic.
        """
        self.timers = [
            timer for timer in self.timers if not (isinstance(timer[2], Task) and timer[2].finished)
        ]
        heapify(self.timers)
        self.clear_threshold = max(self.MIN_CLEANUP_TIMERS, 2 * len(self.timers))

    def expire(self, when: int, target: Task | Callable[[], None]) -> None:
        if not isinstance(target, Task):
            target()
        elif not target.finished and target.next_timer == when:
            target.next_timer = NEVER
            if target.deadline > self.clock():
                if target.deadline < NEVER:
                    target.next_timer = target.deadline
                    self.add_timer(target.deadline, target)
            else:
                self.resume(target, DEADLINE_PASSED)

    # -- turns

    def max_event_delay(self) -> int:
        """The maximum time in nanoseconds for which the event that is being handled may have been pending."""
        return self.clock() - self.events_since

    def run(self) -> None:
        while not self.stopped:
            self.run_once()

    def poll(self) -> list[tuple[int, int]]:
        timeout_seconds = -1.0
        before = self.clock()
        if self.woken or self.due:
            timeout_seconds = 0.0
        elif self.timers:
            timeout_seconds = min(MAX_POLL_SECONDS, max(0, self.timers[0][0] - before) / SECOND)
        events = self.epoll.poll(timeout_seconds)
        now = self.clock()
        # If the poll blocked, its events have just occurred; otherwise at any time since the previous poll.
        self.events_since = now if now - before > before - self.polled_at else self.polled_at
        self.polled_at = now
        return events

    def run_once(self) -> None:
        for fd, events in self.poll():
            if (task := self.waiting_tasks.get(fd)) is not None:
                self.add_due(task, task.resumptions, events)
            else:
                self.run_callback(fd)
        for task, resumptions in self.woken:
            self.add_due(task, resumptions, WOKEN)
        self.woken.clear()
        self.resume_due()
        self.run_timers()

    def run_callback(self, fd: int) -> None:
        """Makes the call that was set for a descriptor; without one nothing waits for it any more."""
        try:
            if (call := self.readable_callbacks.pop(fd, None)) is not None:
                call()
            else:
                self.unregister(fd)
        except Exception:
            log.exception("callback failed")  # must not affect the others

    def add_due(self, task: Task, resumptions: int, reason: int) -> None:
        """Notes that a coroutine is to be resumed, unless that is noted already."""
        noted = self.due.get(task)
        if noted is None or noted.resumptions != task.resumptions:
            self.due[task] = DueResumption(resumptions, reason, self.events_since)

    def resume_due(self) -> None:
        """Resumes the coroutines that are due by rank; of the last ranks only some, the longest due first."""
        due, self.due = self.due, {}
        turn_since = self.events_since
        both = TurnBudget(MAX_LAST_RESUMPTIONS, MAX_LAST_NS)
        last = both
        if any(task.rank == RANK_BACKLOG for task in due):
            last = TurnBudget(MAX_LAST_RESUMPTIONS - BACKLOG_RESUMPTIONS, MAX_LAST_NS - BACKLOG_NS)
        for task in sorted(due, key=rank):
            noted = due[task]
            if task.coroutine is None or task.resumptions != noted.resumptions:
                continue
            if task.rank >= RANK_LAST and not self.has_turn(task, last, both):
                self.due[task] = noted
                continue
            self.events_since = noted.since
            self.resume(task, noted.reason)
        self.events_since = turn_since

    def has_turn(self, task: Task, last: TurnBudget, both: TurnBudget) -> bool:
        """Whether a task of the last ranks is resumed in this turn."""
        now = self.clock()
        if task.rank == RANK_LAST and last is not both and not last.take(now):
            return False
        return both.take(now)

    def run_timers(self) -> None:
        now = self.clock()
        if self.timers and now - self.timers[0][0] > LATE_TIMER_NS:
            log.warning("stood still", extra={"ms": (now - self.timers[0][0]) // MILLISECOND})
        while self.timers and self.timers[0][0] <= now:
            when, _, target = heappop(self.timers)
            try:
                self.expire(when, target)
            except Exception:
                log.exception("timer failed")  # must not affect the others


def rank(task: Task) -> int:
    return task.rank
