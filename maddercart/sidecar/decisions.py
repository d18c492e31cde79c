"""Makes the calls on the one `Balancer`, pulls its decisions and carries them out."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from maddercart.interface import DONE, MILLISECOND, Decision, Entry
from maddercart.messages.answer import Reply, aborted, bounced, done
from maddercart.messages.query import Query
from maddercart.net.loop import SOON, Coroutine, Loop, Task, Wait
from maddercart.policy.balancer import Balancer
from maddercart.sidecar.dispatches import Dispatcher, Ended
from maddercart.sidecar.endings import OUTCOMES, Ending
from maddercart.sidecar.pool import Address
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Held:
    """A query that has no final answer yet."""

    query: Query
    answer: Callable[[Reply], None]
    taken: int
    client_left: Callable[[], bool]
    gone: bool = False  # its client has left, which the module is not told yet
    dispatches: int = 0


@dataclass(slots=True)
class Out:
    """A dispatch that has not ended."""

    number: int
    shot: int
    upstream: int
    sent: int
    task: Task | None = None
    trace: str = ""  # the id that its client gave the query
    dial: Address | None = None
    begun: bool = False  # its connection is up: whether it is still written is asked there, not here


class Decisions:
    def __init__(
        self, loop: Loop, clock: Callable[[], int], balancer: Balancer, upstreams: Upstreams,
        dispatcher: Dispatcher, follow: Callable[[], None],
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.balancer, self.upstreams = loop, clock, balancer, upstreams
        self.dispatcher, self.follow = dispatcher, follow
        self.probe_by: Callable[[int], Query] | None = None  # what is sent to an upstream as a probe
        self.whole = False  # come-back times are told in whole seconds
        self.taken = 0
        self.held: dict[int, Held] = {}
        self.out: dict[tuple[int, int], Out] = {}
        self.arisen: deque[tuple[Out, Ended]] = deque()  # endings that came while decisions were carried out
        self.settling = False
        self.counts: Counter[str] = Counter()  # of what happened, for the log
        self.times = HdrHistogram(1, 60_000, 2)  # from a query to its answer, in milliseconds

    # -- what happens

    def take(
        self, query: Query, answer: Callable[[Reply], None], client_left: Callable[[], bool] = lambda: False
    ) -> int:
        """Its time counts from when its last byte came: what the loop is behind has gone already.
        `client_left` is asked ahead of each attempt: whether the client has closed its connection."""
        self.taken += 1
        self.counts["taken"] += 1
        number, now = self.taken, self.clock()
        self.held[number] = Held(query, answer, now, client_left)
        behind = self.loop.behind()
        self.balancer.take(now, number, query.offering, query.remaining, behind, most=query.most)
        self.settle()
        return number

    def left(self, number: int) -> None:
        if (held := self.held.pop(number, None)) is not None:
            self.counts["left"] += 1
            if log.isEnabledFor(logging.DEBUG):
                trace = held.query.trace.decode("latin-1")
                log.debug("client left", extra={"query": number, "trace": trace})
            held.query.over(held.dispatches, "left")
            self.balancer.left(self.clock(), number)
            self.settle()

    def gone(self, number: int) -> bool:
        """Its client was seen to have left, ahead of an attempt."""
        held = self.held.get(number)
        return held is not None and held.gone

    def learn(self, *told: tuple[Sequence[Entry], bool]) -> None:
        """Lists, or changes of one, in their order: nothing is decided before the last of them is known."""
        for entries, whole in told:
            self.balancer.learn(self.clock(), entries, whole)
        self.recall()
        self.settle()

    def recall(self) -> None:
        """What is on its way to an upstream that gets nothing new goes elsewhere now, not once its connection
        is up or its time for that has passed."""
        for out in [out for out in self.out.values() if not out.begun and out.task is not None]:
            if out.dial is not None and not self.dispatcher.may_send(out.upstream, out.dial):
                self.withdraw(out, Ending.WITHDRAWN)

    def renew(self, terms: Mapping[str, Any]) -> None:
        self.balancer.renew(self.clock(), **terms)
        self.settle()

    def list_failed(self, left: int | None = None) -> None:
        self.balancer.list_failed(self.clock(), *(() if left is None else (left,)))
        self.settle()

    def woken(self) -> None:
        self.balancer.woken(self.clock())
        self.settle()

    def ended(self, out: Out, ended: Ended) -> None:
        """A dispatch has come to its end; the first answer that is whole ends its query."""
        if self.out.pop((out.number, out.shot), None) is None:
            return
        self.arisen.append((out, ended))
        self.settle()

    # -- what is decided

    def settle(self) -> None:
        """What arises while decisions are carried out is fed back after the pull, not inside it."""
        if self.settling:
            return
        self.settling = True
        try:
            while True:
                while self.arisen:
                    self.feed_back(*self.arisen.popleft())
                now = self.clock()
                while (decision := self.balancer.decide(now)) is not None:
                    self.carry_out(now, decision)
                if not self.arisen:
                    return
        finally:
            self.settling = False

    def feed_back(self, out: Out, ended: Ended) -> None:
        ending, answer = ended
        self.counts[ending.name.lower()] += 1
        if self.gone(out.number):
            self.left(out.number)
        outcome, now = OUTCOMES[ending], self.clock()
        if log.isEnabledFor(logging.DEBUG):
            log.debug("dispatch ended", extra={
                "query": out.number, "trace": out.trace, "shot": out.shot, "ending": ending.name.lower(),
                "upstream": self.upstreams.names.get(out.upstream), "ms": (now - out.sent) // MILLISECOND,
                "report": answer.report if answer is not None else None,
            })  # fmt: skip
        if outcome == DONE and answer is not None:
            self.answer(out.number, "done", done(answer))
        self.balancer.outcome(
            now, out.number, out.upstream, out.shot, now - out.sent, outcome, out.number not in self.held,
            answer.report if answer is not None else None,
        )  # fmt: skip

    def carry_out(self, now: int, decision: Decision) -> None:
        match decision:
            case ("dispatch", int(number), int(upstream), int(limit)):
                self.dispatch(now, number, upstream, limit)
            case ("wake", int(after)):
                self.loop.at(now + after, self.woken)
            case ("bounce", int(number), int(after)):
                self.answer(number, "bounced", bounced(after, self.whole))
            case ("abort", int(number)):
                self.answer(number, "aborted", aborted())
            case ("cancel", int(number), int(shot)):
                self.cancel(number, shot)
            case ("probe", int(upstream)):
                self.loop.spawn(self.probe(now, upstream), SOON)
            case ("follow",):
                self.follow()
            case ("note", str(text)):
                *words, last = text.split()
                known = self.upstreams.names.get(int(last)) if last.isdigit() else None
                log.info(" ".join([*words, known or last]))
            case _:
                raise TypeError(f"unknown decision {decision!r}")

    def dispatch(self, now: int, number: int, upstream: int, limit: int) -> None:
        held = self.held[number]
        out = Out(number, held.dispatches, upstream, now, trace=held.query.trace.decode("latin-1"))
        held.dispatches += 1
        self.out[number, out.shot] = out
        task = self.loop.spawn(self.run(held.query, out, now + limit), SOON)
        out.task = task

    def run(self, query: Query, out: Out, until: int) -> Coroutine:
        ended: Ended = (Ending.FAULT, None)
        try:
            ended = yield from self.send(query, out, until)
        except Exception:
            log.exception("dispatch failed")
        self.ended(out, ended)

    def send(self, query: Query, out: Out, until: int) -> Generator[Wait, int, Ended]:
        out.dial = dial = self.upstreams.dials.get(out.upstream)

        def begin() -> bool:
            # Guards against repeats that go out after their window, on a connection that came up late.
            out.begun = True
            held = self.held.get(out.number)
            if held is not None and held.client_left():
                # Guards against an attempt for a client that left while the process was held up.
                held.gone = True
            if held is None or held.gone:
                return False
            return self.balancer.may_begin(self.clock(), out.number)

        return (yield from self.dispatcher.send(query, out.upstream, dial, until, begin))

    def probe(self, sent: int, upstream: int) -> Coroutine:
        """Told in a turn of its own: a decision that is being carried out is not answered inside the pull."""
        ended: Ended = (Ending.FAULT, None)
        try:
            if self.probe_by is not None:
                query = self.probe_by(upstream)
                dial = self.upstreams.dials.get(upstream)
                until = sent + query.remaining
                ended = yield from self.dispatcher.send(query, upstream, dial, until, lambda: True)
        except Exception:
            log.exception("probe failed")

        def told() -> None:
            ending, answer = ended
            now = self.clock()
            well = ending == Ending.ANSWERED and answer is not None and answer.status == 200
            self.balancer.probed(now, upstream, well, now - sent, answer.report if answer else None)
            self.settle()

        self.loop.at(self.clock(), told)

    def cancel(self, number: int, shot: int) -> None:
        if (out := self.out.get((number, shot))) is not None:
            self.withdraw(out, Ending.CLOSED_BY_US)

    def withdraw(self, out: Out, ending: Ending) -> None:
        """Its connection is closed before anything else is sent for its query."""
        del self.out[out.number, out.shot]
        if out.task is not None:
            self.loop.end(out.task)
            self.arisen.append((out, (ending, None)))

    def answer(self, number: int, how: str, reply: Reply) -> None:
        if (held := self.held.pop(number, None)) is not None:
            self.counts[how] += 1
            took = (self.clock() - held.taken) // MILLISECOND
            self.times.record_value(max(1, took))
            if log.isEnabledFor(logging.DEBUG):
                trace, dispatches = held.query.trace.decode("latin-1"), held.dispatches
                words = {"query": number, "trace": trace, "how": how, "dispatches": dispatches, "ms": took}
                log.debug("query answered", extra=words)
            held.query.over(held.dispatches, how)
            held.answer(reply)
