"""Coroutines that are plain generators. One yields a `Wait` and is resumed with why it goes on.

A turn is one look at the epoll set: what it shows goes to the coroutines that waited for it, by their rank,
then the timers that are due.
"""

import logging
import select
from collections.abc import Callable, Generator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.machine import MACHINE, Machine

log = logging.getLogger(__name__)

READ, WRITE, NOTHING = select.EPOLLIN, select.EPOLLOUT, 0

# A timer this late is told: more than a turn with many queries takes, and more than an answer may be late.
LATE = 50 * MILLISECOND

# Why a coroutine goes on: what epoll showed, or one of these.
TIME_UP = 0
WOKEN = -1

# Who goes on first in a turn: what ends work before what begins more.
FIRST, SOON, LAST = 0, 1, 2


class Wait(NamedTuple):
    fd: int = -1  # -1: on nothing but the time and `Loop.wake`
    events: int = NOTHING
    until: int | None = None  # in the loop's clock


Coroutine = Generator[Wait, int, None]


class Task:
    """A coroutine under way."""

    __slots__ = ("alarm", "coroutine", "fd", "rank", "step", "until")

    def __init__(self, coroutine: Coroutine, rank: int) -> None:
        self.coroutine: Coroutine | None = coroutine
        self.rank = rank
        self.fd = -1  # on which it waits
        self.until = NEVER  # its wait ends then
        self.alarm = NEVER  # the soonest of its timers
        self.step = 0  # counts its resumptions: what was meant for an earlier wait is not for this one

    @property
    def over(self) -> bool:
        return self.coroutine is None


NEVER = 1 << 62  # later than any clock


class Loop:
    SPARE = 1024  # timers of tasks that are over and are not worth a clearing

    def __init__(self, clock: Callable[[], int], machine: Machine = MACHINE) -> None:
        self.clock, self.machine = clock, machine
        self.epoll = machine.epoll()
        self.waiting: dict[int, Task] = {}  # by descriptor
        self.resting: dict[int, Callable[[], None]] = {}  # by descriptor: what is called once it is readable
        self.known: dict[int, int] = {}  # descriptors in the epoll set, and what is asked of it
        self.timers: list[tuple[int, int, Task | Callable[[], None]]] = []
        self.clear_at = self.SPARE
        self.count = 0  # of timers: those of one time go in the order they were set
        self.ready: list[tuple[Task, int]] = []
        self.stopped = False
        self.looked = self.since = clock()  # the last look; what it showed came no earlier than this

    # -- coroutines

    def spawn(self, coroutine: Coroutine, rank: int = LAST) -> Task:
        """Starts it at once and runs it up to its first wait."""
        task = Task(coroutine, rank)
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
        coroutine, fault = task.coroutine, None
        while True:
            try:
                if fault is not None:
                    wait = coroutine.throw(fault)
                else:
                    wait = coroutine.send(None if task.step == 1 else why)  # type: ignore[arg-type]
            except StopIteration:
                task.coroutine = None
                return
            except Exception:
                # One connection's fault must not take the others down with it.
                log.exception("coroutine failed")
                task.coroutine = None
                return
            try:
                return self.suspend(task, wait)
            except OSError as error:  # epoll has no room for its descriptor: it ends as if that had broken
                fault = error

    def suspend(self, task: Task, wait: Wait) -> None:
        fd, events, until = wait
        if fd >= 0:
            if self.known.get(fd) != events:
                self.watch(fd, events)
            self.waiting[fd] = task
            task.fd = fd
        if until is not None:
            task.until = until
            if until < task.alarm:  # an earlier timer will do: it sees then that there is more time
                task.alarm = until
                self.set(until, task)

    def unwait(self, task: Task) -> None:
        task.until = NEVER
        if task.fd >= 0:
            if self.waiting.get(task.fd) is task:
                del self.waiting[task.fd]
            task.fd = -1

    # -- descriptors

    def watch(self, fd: int, events: int) -> None:
        """Until something else is asked: most wait for the same again, and each change is a system call."""
        if fd in self.known:
            self.epoll.modify(fd, events)
        else:
            self.epoll.register(fd, events)
        self.known[fd] = events

    def rest(self, fd: int, call: Callable[[], None]) -> None:
        """Something is called once it is readable, which costs no coroutine."""
        if self.known.get(fd) != READ:
            self.watch(fd, READ)
        self.resting[fd] = call

    def rouse(self, fd: int) -> None:
        self.resting.pop(fd, None)

    def forget(self, fd: int) -> None:
        """Before a descriptor is closed, and where nobody waits for what it shows, or it would spin."""
        if self.known.pop(fd, None) is not None:
            self.epoll.unregister(fd)
        self.resting.pop(fd, None)
        if (task := self.waiting.pop(fd, None)) is not None:
            task.fd = -1

    # -- timers

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.set(when, call)

    def set(self, when: int, what: Task | Callable[[], None]) -> None:
        self.count += 1
        heappush(self.timers, (when, self.count, what))
        if len(self.timers) > self.clear_at:
            self.clear()

    def clear(self) -> None:
        """Guards against a heap that grows with traffic: what had ended left its timers there, with what hung
        on them, until their time had come."""
        self.timers = [timer for timer in self.timers if not (isinstance(timer[2], Task) and timer[2].over)]
        heapify(self.timers)
        self.clear_at = max(self.SPARE, 2 * len(self.timers))

    def ring(self, when: int, what: Task | Callable[[], None]) -> None:
        if not isinstance(what, Task):
            what()
        elif not what.over and what.alarm == when:
            what.alarm = NEVER
            if what.until > self.clock():
                if what.until < NEVER:
                    what.alarm = what.until
                    self.set(what.until, what)
            else:
                self.resume(what, TIME_UP)

    # -- turns

    def behind(self) -> int:
        """How long what was shown in this turn may have been waiting for it."""
        return self.clock() - self.since

    def run(self) -> None:
        while not self.stopped:
            self.turn()

    def look(self) -> list[tuple[int, int]]:
        wait = -1.0
        before = self.clock()
        if self.ready:
            wait = 0.0
        elif self.timers:
            wait = max(0, self.timers[0][0] - before) / SECOND
        shown = self.epoll.poll(wait)
        now = self.clock()
        # A look that was waited for shows what has just come; else it came at any time since the one before.
        self.since = now if now - before > before - self.looked else self.looked
        self.looked = now
        return shown

    def turn(self) -> None:
        due: list[tuple[Task, int, int]] = []
        for fd, events in self.look():
            if (task := self.waiting.get(fd)) is not None:
                due.append((task, task.step, events))
            elif (call := self.resting.pop(fd, None)) is not None:
                call()
            else:
                self.forget(fd)
        due.sort(key=rank)
        due += [(task, step, WOKEN) for task, step in self.ready]
        self.ready.clear()
        for task, step, why in due:
            if task.step == step and task.coroutine is not None:
                self.resume(task, why)
        now = self.clock()
        if self.timers and now - self.timers[0][0] > LATE:
            log.warning("stood still", extra={"ms": (now - self.timers[0][0]) // MILLISECOND})
        while self.timers and self.timers[0][0] <= now:
            when, _, what = heappop(self.timers)
            try:
                self.ring(when, what)
            except Exception:
                log.exception("timer failed")  # as with a coroutine: the rest goes on


def rank(one: tuple[Task, int, int]) -> int:
    return one[0].rank
