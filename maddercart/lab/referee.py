"""Checks the four rules against the true events of a simulated day.

Rule 1: each query gets one final answer, before its hard stop, and no dispatch follows the answer.
Rule 2: no effect takes place twice.
Rule 3: no new dispatch goes to a server that drains or is gone, once the drain grace has passed.
Rule 4: no cold server receives more work than its limit.

The referee shares no code with the policies or their host. The simulated world tells it what was taken, sent,
run, answered and listed, and it keeps its own records. All times are nanoseconds of simulated time.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

# The outcomes FULL, UNREACHABLE and MOOT of maddercart/interface.py: only these prove that a dispatch did not
# run.
NEVER_RAN_OUTCOMES = (3, 5, 8)
REDOABLE, LABELLED, IRREVERSIBLE = 0, 1, 2
EVERYWHERE, SAME_ZONE, SAME_CELL = 0, 1, 2
READY = 1


@dataclass(frozen=True)
class EffectRules:
    """Effect of an offering, the group of servers that drops its repeats, and for how long (nanoseconds).

    `effect` and `group` hold the numbers of the constants above.
    """

    effect: int
    group: int
    window: int


@dataclass(frozen=True)
class Breach:
    """One violation of a rule (1 to 4)."""

    rule: int
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.text}"


def seconds(nanoseconds: int) -> str:
    return f"{nanoseconds / 1e9:.6f} s"


class QueryRecord:
    """The history of one query; `wish` numbers the client's request, whose retries are further queries."""

    __slots__ = ("answer", "dispatches", "hard_stop", "offering", "sidecar", "taken_at", "wish")

    def __init__(self, taken_at: int, wish: int, offering: int, hard_stop: int, sidecar: int) -> None:
        self.taken_at, self.wish, self.offering, self.hard_stop, self.sidecar = (
            taken_at,
            wish,
            offering,
            hard_stop,
            sidecar,
        )
        self.answer: tuple[int, str] | None = None  # instant, kind of answer
        self.dispatches: list[list[int]] = []  # server, zone, cell, instant, outcome (0: pending)


class Referee:
    """Records events of a day and collects breaches of the four rules.

    `places` holds the zone and cell of each server. `grace` is how long a dispatch may still be sent after
    the notice of a drain, in nanoseconds. Within `window` nanoseconds a cold server may receive `multiple`
    times the work that it can do in that time. `breach_count` is the number of all breaches; `breaches` holds
    the first `MAX_KEPT_BREACHES` of them.
    """

    MAX_KEPT_BREACHES = 100
    RETENTION_NS = 30 * 10**9  # how long a record is kept after the hard stop; no dispatch is sent so late

    def __init__(
        self,
        offerings: Sequence[EffectRules],
        places: Sequence[tuple[int, int]],
        grace: int,
        multiple: float,
        window: int,
    ) -> None:
        self.offerings, self.places, self.drain_grace, self.cold_multiple, self.cold_window = (
            offerings,
            places,
            grace,
            multiple,
            window,
        )
        self.queries: dict[int, QueryRecord] = {}
        self.query_order: deque[int] = deque()
        self.first_effects: dict[int, tuple[int, int]] = {}  # by wish: server, instant
        # By sidecar, by server: the instant at which the sidecar was told that the server drains or is gone.
        self.not_ready_since: dict[int, dict[int, int]] = {}
        self.pauses: dict[int, list[tuple[int, int]]] = {}  # by sidecar: start, end
        self.cold_arrivals: dict[int, deque[tuple[int, float]]] = {}  # by server: instant, work
        self.cold_work_ns: dict[int, float] = {}  # by server: total of `cold_arrivals`
        self.peak_cold_load = 0.0  # highest load of a cold server, as a part of its limit
        self.breaches: list[Breach] = []
        self.breach_count = 0

    def record_breach(self, rule: int, text: str) -> None:
        self.breach_count += 1
        if len(self.breaches) < self.MAX_KEPT_BREACHES:
            self.breaches.append(Breach(rule, text))

    # -- rule 1: one final answer, before the hard stop, and no dispatch after it

    def record_query(
        self, now: int, number: int, wish: int, offering: int, hard_stop: int, sidecar: int
    ) -> None:
        self.queries[number] = QueryRecord(now, wish, offering, hard_stop, sidecar)
        self.query_order.append(number)
        while self.query_order and (oldest := self.queries.get(self.query_order[0])) is not None:
            if oldest.hard_stop + self.RETENTION_NS > now:
                break
            self.finish_query(self.query_order.popleft(), oldest)

    def finish_query(self, number: int, record: QueryRecord) -> None:
        if record.answer is None and not self.was_paused(record, record.hard_stop):
            self.record_breach(
                1,
                f"query {number}, taken at {seconds(record.taken_at)} by sidecar {record.sidecar}, got no "
                f"answer by its hard stop at {seconds(record.hard_stop)}",
            )
        del self.queries[number]

    def was_paused(self, record: QueryRecord, until: int) -> bool:
        """Whether the query's sidecar was paused at any time between taking the query and `until`."""
        return any(
            end > record.taken_at and start <= until for start, end in self.pauses.get(record.sidecar, ())
        )

    def record_answer(self, now: int, number: int, how: str) -> None:
        record = self.queries.get(number)
        if record is None:
            return self.record_breach(
                1, f"query {number} got the answer {how} at {seconds(now)}, but is held by nobody"
            )
        if record.answer is not None:
            answered_at, first = record.answer
            return self.record_breach(
                1,
                f"query {number} got a second answer, {how} at {seconds(now)}, after {first} at "
                f"{seconds(answered_at)}, from sidecar {record.sidecar}",
            )
        if now > record.hard_stop and not self.was_paused(record, now):
            self.record_breach(
                1,
                f"query {number} got its answer, {how}, at {seconds(now)}, after its hard stop at "
                f"{seconds(record.hard_stop)}, from sidecar {record.sidecar}",
            )
        record.answer = (now, how)
        if how == "bounce":
            self.check_bounce(now, number, record)

    def record_client_gone(self, now: int, number: int) -> None:
        """Notes that the client has gone and is owed no answer."""
        if (record := self.queries.get(number)) is not None and record.answer is None:
            record.answer = (now, "left")

    def record_restart(self, sidecar: int) -> None:
        """Excuses the queries that the sidecar held: they ended with its process, so no answer is owed."""
        for record in self.queries.values():
            if record.sidecar == sidecar and record.answer is None:
                record.answer = (record.hard_stop, "lost")
        self.not_ready_since.pop(sidecar, None)

    def record_pause(self, sidecar: int, start: int, end: int) -> None:
        """Notes a pause of the sidecar's process, which excuses late answers."""
        self.pauses.setdefault(sidecar, []).append((start, end))

    def record_dispatch(
        self, now: int, number: int, dispatch_index: int, server: int, sidecar: int, zone: int
    ) -> None:
        record = self.queries.get(number)
        if record is None:
            return self.record_breach(
                1, f"query {number} was sent to server {server} at {seconds(now)}, but is not held"
            )
        if record.answer is not None:
            answered_at, how = record.answer
            self.record_breach(
                1,
                f"query {number} was sent to server {server} at {seconds(now)}, after its answer, {how} at "
                f"{seconds(answered_at)}, by sidecar {sidecar}",
            )
        if not 0 <= server < len(self.places):
            return self.record_breach(
                3,
                f"query {number} was sent to server {server} at {seconds(now)}, which does not exist",
            )
        self.check_repeat(now, number, record, server)
        record.dispatches.append([server, *self.places[server], now, 0])
        since = self.not_ready_since.get(sidecar, {}).get(server)
        if since is not None and now > since + self.drain_grace:
            self.record_breach(
                3,
                f"query {number} was sent to server {server} at {seconds(now)} by sidecar {sidecar}, which "
                f"was told at {seconds(since)} that it drains or is gone",
            )

    # -- rule 2: no effect twice

    def possible_runs(self, record: QueryRecord) -> list[list[int]]:
        """The dispatches that ran or may have run."""
        return [dispatch for dispatch in record.dispatches if dispatch[4] not in NEVER_RAN_OUTCOMES]

    def check_repeat(self, now: int, number: int, record: QueryRecord, server: int) -> None:
        terms, possible_runs = self.offerings[record.offering], self.possible_runs(record)
        if terms.effect == REDOABLE or not possible_runs:
            return
        zone, cell = self.places[server]
        first = possible_runs[0]
        reason = ""
        if terms.effect == IRREVERSIBLE:
            reason = "is irreversible"
        elif now >= first[3] + terms.window:
            reason = f"is past its window of {seconds(terms.window)}"
        elif (terms.group == SAME_ZONE and zone != first[1]) or (
            terms.group == SAME_CELL and cell != first[2]
        ):
            reason = "leaves the group that drops its repeats"
        if reason:
            self.record_breach(
                2,
                f"query {number} was sent to server {server} at {seconds(now)}, though it may have run at "
                f"server {first[0]} since {seconds(first[3])}: it {reason}",
            )

    def check_bounce(self, now: int, number: int, record: QueryRecord) -> None:
        terms, possible_runs = self.offerings[record.offering], self.possible_runs(record)
        if (
            not possible_runs
            or terms.effect == REDOABLE
            or (terms.effect == LABELLED and terms.group == EVERYWHERE)
        ):
            return
        self.record_breach(
            2,
            f"query {number} was bounced at {seconds(now)}, though it may have run at server "
            f"{possible_runs[0][0]} since {seconds(possible_runs[0][3])}",
        )

    def record_outcome(self, number: int, dispatch_index: int, outcome: int) -> None:
        """Notes the outcome of a dispatch, by its number in maddercart/interface.py."""
        if (record := self.queries.get(number)) is not None and dispatch_index < len(record.dispatches):
            record.dispatches[dispatch_index][4] = outcome

    def record_effect(self, now: int, wish: int, number: int, server: int, offering: int) -> None:
        """Notes a run that took effect. Not called for a repeat that the server dropped."""
        if self.offerings[offering].effect == REDOABLE:
            return
        first = self.first_effects.setdefault(wish, (server, now))
        if first != (server, now):
            self.record_breach(
                2,
                f"query {number} (wish {wish}) took effect at server {server} at {seconds(now)}, and before "
                f"at server {first[0]} at {seconds(first[1])}",
            )

    # -- rule 3: no new dispatch to a server that drains or is gone, once the grace has passed

    def record_list_update(self, now: int, sidecar: int, entries: Sequence[tuple], whole: bool) -> None:  # type: ignore[type-arg]
        """Notes a list update that reached a sidecar; with `whole`, servers that are not on it are gone."""
        not_ready = self.not_ready_since.setdefault(sidecar, {})
        if whole:
            listed = {entry[0] for entry in entries}
            for server in range(len(self.places)):
                if server not in listed:
                    not_ready.setdefault(server, now)
        for entry in entries:
            server, condition = entry[0], entry[4]
            if condition == READY:
                not_ready.pop(server, None)
            else:
                not_ready.setdefault(server, now)

    # -- rule 4: no cold server overloaded

    def record_cold_arrival(self, now: int, server: int, work: float, capacity: float, number: int) -> None:
        """Notes the arrival of a query at a cold server; the queries of all sidecars count.

        `work` and `capacity` are nanoseconds on a warm core; `capacity` is the work that a server of this age
        can do in the window that ends now.
        """
        arrivals = self.cold_arrivals.setdefault(server, deque())
        arrivals.append((now, work))
        total_work = self.cold_work_ns.get(server, 0.0) + work
        while arrivals[0][0] <= now - self.cold_window:
            total_work -= arrivals.popleft()[1]
        self.cold_work_ns[server] = total_work
        load = total_work / (self.cold_multiple * capacity)
        if len(arrivals) > 1:  # a single query may exceed the limit by itself
            self.peak_cold_load = max(self.peak_cold_load, load)
            if load > 1:
                self.record_breach(
                    4,
                    f"query {number} came to the cold server {server} at {seconds(now)} as number "
                    f"{len(arrivals)} within {seconds(self.cold_window)}: {load:.2f} of the limit",
                )

    def finish(self, now: int) -> None:
        """Ends the day: each query whose hard stop has passed must have its answer."""
        for number in list(self.query_order):
            record = self.queries.get(number)
            if record is not None and record.hard_stop <= now:
                self.finish_query(number, record)
