"""The host of one policy: feeds events to it, then pulls its decisions one by one and executes them.

Times are whole nanoseconds of simulated time.
"""

from typing import TYPE_CHECKING, Any, Protocol

from maddercart.interface import (
    CANCELLED,
    DONE,
    GONE,
    MILLISECOND,
    NOT_WRITTEN,
    READY,
    REJECTED,
    SECOND,
    TIMED_OUT,
    UNREACHABLE,
    Decision,
    ListEntry,
    Report,
)  # fmt: skip
from maddercart.lab.servers import Server

if TYPE_CHECKING:
    from maddercart.lab.world import World


class Policy(Protocol):
    """The interface documented in `interface.py`, implemented by `Balancer` and by the baseline policies."""

    def update_list(self, now: int, entries: list[ListEntry], whole: bool) -> None: ...
    def list_failed(self, now: int) -> None: ...
    def take_query(
        self, now: int, number: int, offering: int, remaining: int, waited: int = 0, party: int = -1,
        again: bool = False,
    ) -> None: ...  # fmt: skip
    def dispatch_ended(
        self, now: int, number: int, upstream: int, shot: int, duration: int, outcome: int, ended: bool,
        report: Report | None,
    ) -> None: ...  # fmt: skip
    def client_left(self, now: int, number: int) -> None: ...
    def probe_ended(
        self, now: int, upstream: int, ok: bool, duration: int, report: Report | None
    ) -> None: ...
    def timer_fired(self, now: int) -> None: ...
    def next_decision(self, now: int) -> Decision | None: ...


class Query:
    """One query: a single try at a wish.

    A wish is what a client wants; all its tries share the wish's number, `offering`, `work_ns` and
    `failure_draw`.

    Attributes:
        sent_at: When the client sent this query.
        hard_stop_at: The instant of its hard stop.
        first: When the client sent the wish's first query.
        try_number: Number of this try, from 1.
        work: Nanoseconds on one core of a server of speed 1.
        luck: A draw from 0 to 1 that decides whether a failing server fails the query.
        tenant: The tenant's index, or -1 for none.
        finished: Whether it has its final answer or its client has left.
        dispatch_count: How many dispatches were sent for it.
    """

    __slots__ = (
        "dispatch_count",
        "failure_draw",
        "finished",
        "first_try_at",
        "hard_stop_at",
        "number",
        "offering",
        "sent_at",
        "sidecar",
        "tenant",
        "try_number",
        "wish",
        "work_ns",
    )  # fmt: skip

    def __init__(
        self, number: int, wish: int, sidecar: "Sidecar", offering: int, tenant: int, work_ns: int,
        failure_draw: float, sent_at: int, hard_stop_at: int, first_try_at: int, try_number: int,
    ) -> None:  # fmt: skip
        self.number, self.wish, self.sidecar, self.offering, self.tenant = (
            number,
            wish,
            sidecar,
            offering,
            tenant,
        )
        (
            self.work_ns,
            self.failure_draw,
            self.sent_at,
            self.hard_stop_at,
            self.first_try_at,
            self.try_number,
        ) = (
            work_ns,
            failure_draw,
            sent_at,
            hard_stop_at,
            first_try_at,
            try_number,
        )
        self.finished = False
        self.dispatch_count = 0


class Dispatch:
    """One dispatch of a query to a server.

    Attributes:
        shot: Index of the dispatch among those of its query, from 0.
        arrived_at: When the server admitted it, or 0 if it has not.
        outcome: How it ended, one of the outcomes in `interface.py`; 0 until the server replies.
        server_incarnation: The server's incarnation when it was sent.
        finished: Whether the sidecar has seen its end or cancelled it.
    """

    __slots__ = (
        "arrived_at", "finished", "outcome", "query", "report", "sent_at", "server", "server_incarnation",
        "shot", "sidecar",
    )  # fmt: skip

    def __init__(self, query: Query, sidecar: "Sidecar", server: Server, shot: int, sent_at: int) -> None:
        self.query, self.sidecar, self.server, self.shot, self.sent_at = query, sidecar, server, shot, sent_at
        self.server_incarnation, self.finished = server.incarnation, False
        self.arrived_at, self.outcome = 0, 0
        self.report: Report | None = None


class ConnectionPool:
    """The connections of one sidecar to one incarnation of a server.

    `active_dispatches` counts the dispatches and connection attempts that occupy them; `idle_timer_set` says
    whether the idle timeout is scheduled.
    """

    __slots__ = ("active_dispatches", "idle_timer_set", "open_connections", "server_incarnation")

    def __init__(self, server_incarnation: int) -> None:
        self.server_incarnation, self.open_connections, self.active_dispatches, self.idle_timer_set = (
            server_incarnation,
            0,
            0,
            False,
        )


class Sidecar:
    """A simulated sidecar: its queries, dispatches, connections and last server list.

    While it is paused, each event that reaches it is postponed to the end of the pause.
    """

    def __init__(self, world: "World", number: int, zone: int) -> None:
        self.world, self.engine, self.number, self.zone = world, world.engine, number, zone
        self.incarnation = 0
        self.subscribes = world.scenario.listed.mode == "ask"
        self.subscribed, self.list_version, self.list_delivery_at = not self.subscribes, 0, 0
        # Its last list, by server: the only state that survives a restart.
        self.cached_entries: dict[int, ListEntry] = {}
        self.queries: dict[int, Query] = {}
        self.in_flight: dict[tuple[int, int], Dispatch] = {}  # by query and shot
        self.pools: dict[int, ConnectionPool] = {}
        self.paused_until = 0  # end of the latest pause
        self.policy: Policy = world.create_policy(self)
        self.idle_timeout_ns = round(world.scenario.servers.idle * SECOND)
        self.connect_timeout_ns = round(world.scenario.servers.connect_timeout * SECOND)
        self.streams_per_connection = world.scenario.sidecars.streams

    # -- incoming events

    def defer_while_paused(self, callback: Any, argument: Any) -> bool:
        """Postpones an event to the end of the pause, in order. Returns False if not paused."""
        if self.paused_until <= self.engine.now:
            return False
        self.engine.schedule(self.paused_until, callback, argument)
        return True

    def pause(self, until: int) -> None:
        self.world.referee.record_pause(self.number, self.engine.now, until)
        self.paused_until = until

    def restart(self) -> None:
        """Loses its queries, closes its connections and starts a new policy with the cached server list."""
        self.incarnation += 1
        for dispatch in list(self.in_flight.values()):
            dispatch.finished = True
            self.world.dispatch_ended(dispatch)
        for server_number in list(self.pools):
            self.close_connections(server_number)
        lost_queries = list(self.queries.values())
        self.queries.clear()
        self.in_flight.clear()
        self.world.referee.record_restart(self.number)
        self.policy = self.world.create_policy(self)
        self.subscribed = not self.subscribes
        self.policy.update_list(self.engine.now, list(self.cached_entries.values()), True)
        self.execute_decisions()
        for query in lost_queries:
            self.world.clients.connection_lost(query)

    def receive_list(self, arguments: tuple[list[ListEntry], bool, int, int]) -> None:
        """Handles a list update: (entries, whether it is the whole list, incarnation, when it was sent)."""
        if self.defer_while_paused(self.receive_list, arguments):
            return
        entries, whole, incarnation, _ = arguments
        if incarnation != self.incarnation:
            return
        now = self.engine.now
        if whole:
            self.cached_entries.clear()
        for entry in entries:
            if entry.condition == GONE:
                self.cached_entries.pop(entry.upstream, None)
            else:
                self.cached_entries[entry.upstream] = entry
        self.world.referee.record_list_update(now, self.number, entries, whole)
        self.policy.update_list(now, entries, whole)
        self.execute_decisions()

    def list_unavailable(self, incarnation: int) -> None:
        if self.defer_while_paused(self.list_unavailable, incarnation) or incarnation != self.incarnation:
            return
        self.policy.list_failed(self.engine.now)
        self.execute_decisions()

    def receive_query(self, query: Query) -> None:
        if self.defer_while_paused(self.receive_query, query):
            return
        now = self.engine.now
        if query.finished:
            return  # its client left before the sidecar read it
        self.queries[query.number] = query
        self.world.referee.record_query(
            now, query.number, query.wish, query.offering, query.hard_stop_at, self.number
        )
        self.world.record_event(now, 1, query.number, self.number)
        self.policy.take_query(
            now,
            query.number,
            query.offering,
            query.hard_stop_at - now,
            now - query.sent_at,
            query.tenant,
            query.try_number > 1,
        )
        self.execute_decisions()

    def client_left(self, query: Query) -> None:
        if self.defer_while_paused(self.client_left, query):
            return
        if self.queries.pop(query.number, None) is not None:
            self.world.referee.record_client_gone(self.engine.now, query.number)
            self.policy.client_left(self.engine.now, query.number)
            self.execute_decisions()

    def wake(self, incarnation: int) -> None:
        if self.defer_while_paused(self.wake, incarnation) or incarnation != self.incarnation:
            return
        self.policy.timer_fired(self.engine.now)
        self.execute_decisions()

    def receive_reply(self, dispatch: Dispatch) -> None:
        """Handles an answer or a connection reset from the server."""
        if not dispatch.finished and not self.defer_while_paused(self.receive_reply, dispatch):
            self.finish_dispatch(dispatch, dispatch.outcome)

    def timed_out(self, dispatch: Dispatch) -> None:
        if not dispatch.finished and not self.defer_while_paused(self.timed_out, dispatch):
            self.finish_dispatch(dispatch, TIMED_OUT)

    def unreachable(self, dispatch: Dispatch) -> None:
        if not dispatch.finished and not self.defer_while_paused(self.unreachable, dispatch):
            self.finish_dispatch(dispatch, UNREACHABLE)

    def finish_dispatch(self, dispatch: Dispatch, outcome: int) -> None:
        now, query = self.engine.now, dispatch.query
        self.release_dispatch(dispatch, outcome)
        self.world.referee.record_outcome(query.number, dispatch.shot, outcome)
        self.world.record_event(now, 4, query.number * 8 + dispatch.shot, outcome)
        if self.world.story is not None:
            self.world.story.dispatch_ended(now, dispatch, outcome)
        if outcome == DONE and self.queries.pop(query.number, None) is not None:
            self.answer(query, "done", 0)
        self.policy.dispatch_ended(
            now, query.number, dispatch.server.number, dispatch.shot, now - dispatch.sent_at, outcome,
            query.number not in self.queries, dispatch.report,
        )  # fmt: skip
        self.execute_decisions()

    def release_dispatch(self, dispatch: Dispatch, outcome: int) -> None:
        dispatch.finished = True
        self.in_flight.pop((dispatch.query.number, dispatch.shot), None)
        self.world.dispatch_ended(dispatch)
        pool = self.pools.get(dispatch.server.number)
        if pool is None or pool.server_incarnation != dispatch.server_incarnation:
            return
        pool.active_dispatches -= 1
        if outcome in (DONE, REJECTED) or self.streams_per_connection > 1:
            if not pool.active_dispatches and not pool.idle_timer_set:
                pool.idle_timer_set = True
                self.engine.schedule(
                    self.engine.now + self.idle_timeout_ns, self.idle_expired, (dispatch.server.number, pool)
                )
        elif outcome != UNREACHABLE and pool.open_connections:
            # Without multiplexing, a broken connection or one with an abandoned dispatch is closed.
            pool.open_connections -= 1
            dispatch.server.connections -= 1

    def idle_expired(self, arguments: tuple[int, ConnectionPool]) -> None:
        """Closes the connections to a server if none of them is in use when the idle timeout ends."""
        server_number, pool = arguments
        pool.idle_timer_set = False
        if not pool.active_dispatches and self.pools.get(server_number) is pool:
            self.close_connections(server_number)

    def close_connections(self, server_number: int) -> None:
        pool, server = self.pools.pop(server_number), self.world.servers[server_number]
        if pool.server_incarnation == server.incarnation:
            server.connections -= pool.open_connections

    # -- decisions

    def execute_decisions(self) -> None:
        """Executes the policy's decisions until there are none left."""
        now, decide = self.engine.now, self.policy.next_decision
        cancelled: list[Dispatch] = []
        while (decision := decide(now)) is not None:
            verb = decision[0]
            if verb == "dispatch":
                self.dispatch(now, decision)
            elif verb == "wake":
                self.engine.schedule(now + int(decision[1]), self.wake, self.incarnation)
            elif verb in ("bounce", "abort"):
                query = self.queries.pop(int(decision[1]), None)
                if query is None:
                    self.world.referee.record_answer(now, int(decision[1]), str(verb))
                else:
                    self.answer(query, str(verb), int(decision[2]) if verb == "bounce" else 0)
            elif verb == "cancel":
                dispatch = self.in_flight.get((int(decision[1]), int(decision[2])))
                if dispatch is not None:
                    cancelled.append(dispatch)
                    self.cancel(dispatch)
            elif verb == "probe":
                self.probe(now, int(decision[1]))
            elif verb == "follow":
                self.engine.schedule(now, self.world.discovery.subscribe, self)
            elif verb == "note":
                self.world.policy_note(now, self.number, str(decision[1]))
            else:
                raise TypeError(f"unknown decision {decision!r}")
        # The policy gets the outcomes of cancelled dispatches after all its decisions have been pulled.
        for dispatch in cancelled:
            self.policy.dispatch_ended(
                now, dispatch.query.number, dispatch.server.number, dispatch.shot, now - dispatch.sent_at,
                CANCELLED, dispatch.query.number not in self.queries, None,
            )  # fmt: skip
        if cancelled:
            self.execute_decisions()

    def answer(self, query: Query, outcome: str, retry_after: int) -> None:
        now = self.engine.now
        self.world.referee.record_answer(now, query.number, outcome)
        self.world.record_event(now, 5, query.number, {"done": 1, "bounce": 2, "abort": 3}[outcome])
        if self.world.story is not None:
            self.world.story.query_answered(now, query, outcome, retry_after)
        self.world.clients.receive_answer(query, outcome, retry_after)

    def dispatch(self, now: int, decision: Decision) -> None:
        _, number, upstream, timeout = decision
        query = self.queries.get(int(number))
        server = self.world.find_server(int(upstream))
        if query is None or server is None:  # invalid decision: the referee reports the breach
            self.world.referee.record_dispatch(now, int(number), -1, int(upstream), self.number, self.zone)
            return
        shot, query.dispatch_count = query.dispatch_count, query.dispatch_count + 1
        dispatch = Dispatch(query, self, server, shot, now)
        self.in_flight[query.number, shot] = dispatch
        self.world.dispatch_sent(now, dispatch)
        self.engine.schedule(now + int(timeout), self.timed_out, dispatch)
        pool = self.pools.get(server.number)
        if pool is None or pool.server_incarnation != server.incarnation:
            pool = self.pools[server.number] = ConnectionPool(server.incarnation)
        outbound_delay = self.world.network.delay(self.zone, server.zone)
        return_delay = self.world.network.delay(server.zone, self.zone)
        # A dispatch that needs a new connection takes one more round trip.
        if pool.active_dispatches >= pool.open_connections * self.streams_per_connection:
            if server.partitioned or (server.silent and server.up):
                self.engine.schedule(now + self.connect_timeout_ns, self.unreachable, dispatch)
                pool.active_dispatches += 1
                return
            if not server.up or server.connections >= server.settings.connections:
                self.engine.schedule(now + outbound_delay + return_delay, self.unreachable, dispatch)
                pool.active_dispatches += 1
                return
            pool.open_connections += 1
            server.connections += 1
            outbound_delay += outbound_delay + return_delay
        pool.active_dispatches += 1
        self.engine.schedule(now + outbound_delay, server.receive, dispatch)

    def cancel(self, dispatch: Dispatch) -> None:
        self.release_dispatch(dispatch, CANCELLED)
        self.world.referee.record_outcome(dispatch.query.number, dispatch.shot, CANCELLED)
        outbound_delay = self.world.network.delay(self.zone, dispatch.server.zone)
        self.engine.schedule(self.engine.now + outbound_delay, dispatch.server.cancel, dispatch)

    def probe(self, now: int, upstream: int) -> None:
        server, network = self.world.find_server(upstream), self.world.network
        if server is None:
            return
        outbound_delay, return_delay = (
            network.delay(self.zone, server.zone),
            network.delay(server.zone, self.zone),
        )
        self.world.meter.probe_count += 1
        if server.reachable():
            self.engine.schedule(
                now + outbound_delay + return_delay,
                self.probe_finished,
                (server, True, self.incarnation, now),
            )
        else:
            timeout = (
                self.connect_timeout_ns
                if server.partitioned or server.silent
                else outbound_delay + return_delay
            )
            self.engine.schedule(now + timeout, self.probe_finished, (server, False, self.incarnation, now))

    def probe_finished(self, arguments: tuple[Server, bool, int, int]) -> None:
        """Handles the end of a probe: (server, success, incarnation of the sidecar, when it was sent)."""
        if self.defer_while_paused(self.probe_finished, arguments):
            return
        server, ok, incarnation, sent_at = arguments
        if incarnation == self.incarnation:
            report = server.current_report() if ok and server.settings.reports else None
            self.policy.probe_ended(self.engine.now, server.number, ok, self.engine.now - sent_at, report)
            self.execute_decisions()


NOT_RUN = frozenset({REJECTED, UNREACHABLE, NOT_WRITTEN})
__all__ = ["MILLISECOND", "NOT_RUN", "READY", "Dispatch", "Policy", "Query", "Sidecar"]
