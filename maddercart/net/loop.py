"""Coroutines that are plain generators. One yields a `Wait` and is resumed with why it goes on.

A turn is one look at the epoll set: what it shows goes to the coroutines that waited for it, those spawned
`first` before all others, then the timers that are due.
"""

import logging
import select
from collections.abc import Callable, Generator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from maddercart.interface import MILLISECOND, SECOND

log = logging.getLogger(__name__)

READ, WRITE, NOTHING = select.EPOLLIN, select.EPOLLOUT, 0
BROKEN = select.EPOLLERR | select.EPOLLHUP

# A timer this late is told: more than a turn with many queries takes, and more than an answer may be late.
LATE = 50 * MILLISECOND

# Why a coroutine goes on: what epoll showed, or one of these.
TIME_UP = 0
WOKEN = -1


class Wait(NamedTuple):
    fd: int = -1  # -1: on nothing but the time and `Loop.wake`
    events: int = NOTHING
    until: int | None = None  # in the loop's clock


Coroutine = Generator[Wait, int, None]


class Task:
    """A coroutine under way."""

    __slots__ = ("coroutine", "fd", "first", "step", "timer")

    def __init__(self, coroutine: Coroutine, first: bool) -> None:
        self.coroutine: Coroutine | None = coroutine
        self.first = first
        self.fd = -1  # on which it waits
        self.timer: Timer | None = None  # of its wait
        self.step = 0  # counts its resumptions: what was meant for an earlier wait is not for this one

    @property
    def over(self) -> bool:
        return self.coroutine is None


class Timer:
    """Something to be called once, unless it is called off."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call  # None: it was called, or called off


class Loop:
    OFF_LEAST = 256  # timers called off that are not worth a clearing

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.epoll = select.epoll()
        self.waiting: dict[int, Task] = {}  # by descriptor
        self.known: set[int] = set()  # descriptors in the epoll set
        self.timers: list[tuple[int, int, Timer]] = []
        self.count = 0  # of timers: those of one time go in the order they were set
        self.off = 0  # how many of them were called off and are still there
        self.ready: list[tuple[Task, int]] = []
        self.stopped = False

    # -- coroutines

    def spawn(self, coroutine: Coroutine, first: bool = False) -> Task:
        """Starts it at once and runs it up to its first wait."""
        task = Task(coroutine, first)
        self.resume(task, WOKEN)
        return task

    def wake(self, task: Task) -> None:
        """Resumes a waiting coroutine before the next look at the epoll set."""
        if not task.over:
            self.ready.append((task, task.step))

    def end(self, task: Task) -> None:
        """Ends it where it waits; its `finally` clauses run."""
        if (coroutine := task.coroutine) is not None:
            self.unwait(task)
            task.coroutine = None
            coroutine.close()

    def resume(self, task: Task, why: int) -> None:
        self.unwait(task)
        task.step += 1
        assert task.coroutine is not None
        try:
            wait = task.coroutine.send(None if task.step == 1 else why)  # type: ignore[arg-type]
        except StopIteration:
            task.coroutine = None
            return
        except Exception:
            # One connection's fault must not take the others down with it.
            log.exception("coroutine failed")
            task.coroutine = None
            return
        if wait.fd >= 0:
            self.watch(wait.fd, wait.events)
            self.waiting[wait.fd] = task
            task.fd = wait.fd
        if wait.until is not None:
            task.timer = self.at(wait.until, lambda: self.resume(task, TIME_UP))

    def unwait(self, task: Task) -> None:
        if task.timer is not None:
            self.call_off(task.timer)
            task.timer = None
        if task.fd >= 0:
            if self.waiting.get(task.fd) is task:
                del self.waiting[task.fd]
            task.fd = -1

    # -- descriptors

    def watch(self, fd: int, events: int) -> None:
        """One shot: what nobody waits for is not shown, so that it can't spin."""
        if fd in self.known:
            self.epoll.modify(fd, events | select.EPOLLONESHOT)
        else:
            self.epoll.register(fd, events | select.EPOLLONESHOT)
            self.known.add(fd)

    def forget(self, fd: int) -> None:
        """Before a descriptor is closed."""
        if fd in self.known:
            self.known.discard(fd)
            self.epoll.unregister(fd)
        if (task := self.waiting.pop(fd, None)) is not None:
            task.fd = -1

    # -- timers

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        timer = Timer(call)
        self.count += 1
        heappush(self.timers, (when, self.count, timer))
        return timer

    def call_off(self, timer: Timer) -> None:
        """Guards against a heap that grows with traffic: each wait that ended early left its timer there,
        with what hung on it, until the time had come. They go once they are the greater part."""
        if timer.call is None:
            return
        timer.call = None
        self.off += 1
        if self.off > max(self.OFF_LEAST, len(self.timers) // 2):
            self.timers = [entry for entry in self.timers if entry[2].call is not None]
            heapify(self.timers)
            self.off = 0

    # -- turns

    def run(self) -> None:
        while not self.stopped:
            self.turn()

    def turn(self) -> None:
        wait = -1.0
        while self.timers and self.timers[0][2].call is None:
            heappop(self.timers)
            self.off -= 1
        if self.ready:
            wait = 0.0
        elif self.timers:
            wait = max(0, self.timers[0][0] - self.clock()) / SECOND
        shown = [(self.waiting[fd], events) for fd, events in self.epoll.poll(wait) if fd in self.waiting]
        due = [(task, task.step, events) for task, events in sorted(shown, key=lambda one: not one[0].first)]
        due += [(task, step, WOKEN) for task, step in self.ready]
        self.ready.clear()
        for task, step, why in due:
            if task.step == step and not task.over:
                self.resume(task, why)
        now = self.clock()
        if self.timers and now - self.timers[0][0] > LATE:
            log.warning("stood still", extra={"ms": (now - self.timers[0][0]) // MILLISECOND})
        while self.timers and self.timers[0][0] <= now:
            timer = heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is None:
                self.off -= 1
            else:
                try:
                    call()
                except Exception:
                    log.exception("timer failed")  # as with a coroutine: the rest goes on
