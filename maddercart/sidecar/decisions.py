"""Drives the `Balancer`: reports events to it, pulls its decisions and executes them."""

import logging
from collections import Counter, deque
from collections.abc import Callable, Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from maddercart.interface import DONE, MILLISECOND, Decision, ListEntry
from maddercart.messages.query import Query
from maddercart.messages.responses import ClientResponse, aborted_response, bounced_response, done_response
from maddercart.net.loop import RANK_SOON, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import PeerState
from maddercart.policy.balancer import Balancer
from maddercart.sidecar.connection_pool import Address
from maddercart.sidecar.dispatches import Dispatcher, DispatchResult, WritePermission
from maddercart.sidecar.endings import OUTCOME_BY_ENDING, Ending
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)


@dataclass(slots=True)
class HeldQuery:
    """A query that has no final answer yet."""

    query: Query
    send_reply: Callable[[ClientResponse], None]
    taken_at: int
    client_state: Callable[[], PeerState]
    client_gone: bool = False  # the client was seen to have left; the balancer has not been told yet
    dispatches: int = 0


@dataclass(slots=True)
class PendingDispatch:
    """A dispatch that has not ended."""

    query_number: int
    shot: int  # index of the dispatch within its query, from 0
    upstream: int
    sent_at: int
    task: Task | None = None
    trace: str = ""  # the trace id that the client gave the query
    address: Address | None = None
    connected: bool = False  # its connection is up, and it has been decided whether it is written


class BalancerDriver:
    """Holds the queries of one pool and their dispatches on behalf of its balancer.

    `follow_list` is called when the balancer decides to subscribe to changes of the list."""

    def __init__(
        self, loop: Loop, clock: Callable[[], int], balancer: Balancer, upstreams: Upstreams,
        dispatcher: Dispatcher, follow_list: Callable[[], None],
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.balancer, self.upstreams = loop, clock, balancer, upstreams
        self.dispatcher, self.follow_list = dispatcher, follow_list
        self.make_probe: Callable[[int], Query] | None = None  # makes the probe request for an upstream
        self.retry_after_whole_seconds = False  # Retry-After is given in whole seconds
        self.query_count = 0  # queries so far; also the number of the last one
        self.held: dict[int, HeldQuery] = {}  # by query number
        self.pending: dict[tuple[int, int], PendingDispatch] = {}  # by (query number, shot)
        # Dispatches whose result the balancer has not been told yet.
        self.unreported: deque[tuple[PendingDispatch, DispatchResult]] = deque()
        self.pulling_decisions = False  # `pull_decisions` is running
        self.counts: Counter[str] = Counter()  # events since the last log line of counts
        self.latencies_ms = HdrHistogram(1, 60_000, 2)  # milliseconds from a query to its answer

    # -- events

    def take_query(
        self, query: Query, send_reply: Callable[[ClientResponse], None],
        client_state: Callable[[], PeerState] = lambda: PeerState.OPEN,
    ) -> int:  # fmt: skip
        """Takes a query and returns its number. The query's time counts from when its last byte came, so the
        balancer is told how far the loop lags behind. `client_state` is asked before each attempt: none
        begins for a client that has closed its connection, or while it isn't known whether it has."""
        self.query_count += 1
        self.counts["taken"] += 1
        number, now = self.query_count, self.clock()
        self.held[number] = HeldQuery(query, send_reply, now, client_state)
        lag = self.loop.max_event_delay()
        self.balancer.take_query(
            now, number, query.offering, query.remaining, lag, max_dispatches=query.max_dispatches,
            identity=query.identity,
        )  # fmt: skip
        self.pull_decisions()
        return number

    def drop_query(self, number: int) -> None:
        """The client has closed its connection: nothing is owed to it any more."""
        if (held := self.held.pop(number, None)) is not None:
            self.counts["left"] += 1
            if log.isEnabledFor(logging.DEBUG):
                trace = held.query.trace_id.decode("latin-1")
                log.debug(
                    "client closed the connection before its answer", extra={"query": number, "trace": trace}
                )
            held.query.on_finished(held.dispatches, "left")
            self.balancer.client_left(self.clock(), number)
            self.pull_decisions()

    def is_client_gone(self, number: int) -> bool:
        """Whether the client was seen to have left just before an attempt."""
        held = self.held.get(number)
        return held is not None and held.client_gone

    def update_upstreams(self, *updates: tuple[Sequence[ListEntry], bool]) -> None:
        """Applies lists, or changes of one, in order, as pairs of entries and whether they are the whole
        list. No decision is pulled before the last of them is known."""
        for entries, whole in updates:
            self.balancer.update_list(self.clock(), entries, whole)
        self.withdraw_disallowed()
        self.pull_decisions()

    def withdraw_disallowed(self) -> None:
        """Withdraws dispatches that are still connecting to an upstream that may get no new query, so that
        they go elsewhere now and not only once the connection is up or the connect timeout has passed."""
        for out in [out for out in self.pending.values() if not out.connected and out.task is not None]:
            if out.address is not None and not self.dispatcher.may_send(out.upstream, out.address):
                self.withdraw(out, Ending.WITHDRAWN)

    def update_settings(self, terms: Mapping[str, Any]) -> None:
        """`terms` are the keyword arguments of `Balancer.reconfigure`."""
        self.balancer.reconfigure(self.clock(), **terms)
        self.pull_decisions()

    def on_list_failed(self, remaining_ns: int | None = None) -> None:
        """The subscription to the list failed; `remaining_ns` is left until what is missed counts as told."""
        self.balancer.list_failed(self.clock(), *(() if remaining_ns is None else (remaining_ns,)))
        self.pull_decisions()

    def wake_balancer(self) -> None:
        self.balancer.timer_fired(self.clock())
        self.pull_decisions()

    def dispatch_ended(self, out: PendingDispatch, result: DispatchResult) -> None:
        """Handles the end of a dispatch unless it was withdrawn before. The first whole answer ends the
        query."""
        if self.pending.pop((out.query_number, out.shot), None) is None:
            return
        self.unreported.append((out, result))
        self.pull_decisions()

    # -- decisions

    def pull_decisions(self) -> None:
        """Reports results and executes decisions until there are none left. A result that arises while a
        decision is executed is reported after the pull, not inside it."""
        if self.pulling_decisions:
            return
        self.pulling_decisions = True
        try:
            while True:
                while self.unreported:
                    self.report_result(*self.unreported.popleft())
                now = self.clock()
                while (decision := self.balancer.next_decision(now)) is not None:
                    self.execute(now, decision)
                if not self.unreported:
                    return
        finally:
            self.pulling_decisions = False

    def report_result(self, out: PendingDispatch, result: DispatchResult) -> None:
        ending, answer = result
        self.counts[ending.name.lower()] += 1
        if self.is_client_gone(out.query_number):
            self.drop_query(out.query_number)
        outcome, now = OUTCOME_BY_ENDING[ending], self.clock()
        if log.isEnabledFor(logging.DEBUG):
            log.debug("dispatch ended", extra={
                "query": out.query_number, "trace": out.trace, "shot": out.shot,
                "ending": ending.name.lower(), "upstream": self.upstreams.names.get(out.upstream),
                "ms": (now - out.sent_at) // MILLISECOND,
                "report": answer.report if answer is not None else None,
            })  # fmt: skip
        if outcome == DONE and answer is not None:
            self.answer_query(out.query_number, "done", done_response(answer))
        self.balancer.dispatch_ended(
            now, out.query_number, out.upstream, out.shot, now - out.sent_at, outcome,
            out.query_number not in self.held, answer.report if answer is not None else None,
        )  # fmt: skip

    def execute(self, now: int, decision: Decision) -> None:
        match decision:
            case ("dispatch", int(number), int(upstream), int(limit)):
                self.start_dispatch(now, number, upstream, limit)
            case ("wake", int(after)):
                self.loop.call_at(now + after, self.wake_balancer)
            case ("bounce", int(number), int(after)):
                self.answer_query(number, "bounced", bounced_response(after, self.retry_after_whole_seconds))
            case ("abort", int(number)):
                self.answer_query(number, "aborted", aborted_response())
            case ("cancel", int(number), int(shot)):
                self.cancel_dispatch(number, shot)
            case ("probe", int(upstream)):
                self.loop.spawn(self.run_probe(now, upstream), RANK_SOON)
            case ("follow",):
                self.follow_list()
            case ("note", str(text)):
                *words, last = text.split()
                name = self.upstreams.names.get(int(last)) if last.isdigit() else None
                log.info(" ".join([*words, name or last]))
            case _:
                raise TypeError(f"unknown decision {decision!r}")

    def start_dispatch(self, now: int, number: int, upstream: int, limit: int) -> None:
        """`limit`: nanoseconds after which the dispatch has timed out."""
        held = self.held[number]
        out = PendingDispatch(
            number, held.dispatches, upstream, now, trace=held.query.trace_id.decode("latin-1")
        )
        held.dispatches += 1
        self.pending[number, out.shot] = out
        task = self.loop.spawn(self.run_dispatch(held.query, out, now + limit), RANK_SOON)
        out.task = task

    def run_dispatch(self, query: Query, out: PendingDispatch, deadline: int) -> Coroutine:
        result: DispatchResult = (Ending.FAULT, None)
        try:
            result = yield from self.send_dispatch(query, out, deadline)
        except Exception:
            log.exception("dispatch raised an exception")
        self.dispatch_ended(out, result)

    def send_dispatch(
        self, query: Query, out: PendingDispatch, deadline: int
    ) -> Generator[Wait, int, DispatchResult]:
        out.address = address = self.upstreams.addresses.get(out.upstream)

        def may_write() -> WritePermission:
            permission = self.write_permission(out.query_number)
            out.connected = permission != WritePermission.UNDECIDED
            return permission

        return (yield from self.dispatcher.send(query, out.upstream, address, deadline, may_write))

    def write_permission(self, number: int) -> WritePermission:
        """Whether a dispatch of a query whose connection is up may be written.

        The client may have left while the process was stalled or while its input lay unread: no attempt is
        made for it. A connection may come up late: a repeat of a labelled query must not go out after its
        window.
        """
        if (held := self.held.get(number)) is None:
            return WritePermission.DENIED
        state = held.client_state()
        if state == PeerState.UNREAD:
            return WritePermission.UNDECIDED
        held.client_gone = state == PeerState.CLOSED
        if held.client_gone or not self.balancer.may_write(self.clock(), number):
            return WritePermission.DENIED
        return WritePermission.GRANTED

    def run_probe(self, sent_at: int, upstream: int) -> Coroutine:
        """Sends a probe and reports its result from a timer, so that the balancer never gets the result of a
        decision inside the pull that made it."""
        result: DispatchResult = (Ending.FAULT, None)
        try:
            if self.make_probe is not None:
                query = self.make_probe(upstream)
                address = self.upstreams.addresses.get(upstream)
                deadline = sent_at + query.remaining
                result = yield from self.dispatcher.send(
                    query, upstream, address, deadline, lambda: WritePermission.GRANTED
                )
        except Exception:
            log.exception("probe raised an exception")

        def report() -> None:
            ending, answer = result
            now = self.clock()
            healthy = ending == Ending.ANSWERED and answer is not None and answer.status == 200
            self.balancer.probe_ended(
                now, upstream, healthy, now - sent_at, answer.report if answer else None
            )
            self.pull_decisions()

        self.loop.call_at(self.clock(), report)

    def cancel_dispatch(self, number: int, shot: int) -> None:
        if (out := self.pending.get((number, shot))) is not None:
            self.withdraw(out, Ending.CLOSED_BY_US)

    def withdraw(self, out: PendingDispatch, ending: Ending) -> None:
        """Ends a dispatch; its connection is closed before anything else is sent for the query."""
        del self.pending[out.query_number, out.shot]
        if out.task is not None:
            self.loop.close(out.task)
            self.unreported.append((out, (ending, None)))

    def answer_query(self, number: int, how: str, reply: ClientResponse) -> None:
        """Gives a query its final answer; `how` is done, bounced or aborted."""
        if (held := self.held.pop(number, None)) is not None:
            self.counts[how] += 1
            duration_ms = (self.clock() - held.taken_at) // MILLISECOND
            self.latencies_ms.record_value(max(1, duration_ms))
            if log.isEnabledFor(logging.DEBUG):
                trace, dispatches = held.query.trace_id.decode("latin-1"), held.dispatches
                fields = {
                    "query": number,
                    "trace": trace,
                    "how": how,
                    "dispatches": dispatches,
                    "ms": duration_ms,
                }
                log.debug("query answered", extra=fields)
            held.query.on_finished(held.dispatches, how)
            held.send_reply(reply)
