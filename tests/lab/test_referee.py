"""The referee finds each broken rule by name, and is silent on the module."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from maddercart.interface import DONE, ERROR, READY, SECOND, Decision, Entry
from maddercart.lab import runs as players
from maddercart.lab import scenario as scenarios
from maddercart.lab.experiment import Run, change
from maddercart.lab.policies import AtRandom, Held
from maddercart.lab.referee import Referee, Terms
from maddercart.lab.world import World
from maddercart.policy.balancer import Balancer
from tests.lab.days import ONCE, POST, day


class Broken:
    """The module, with what it hears or says changed on the way."""

    def __init__(self, **arguments: Any) -> None:
        self.inner = Balancer(**arguments)
        self.more: deque[Decision] = deque()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def decide(self, now: int) -> Decision | None:
        if self.more:
            return self.more.popleft()
        decision = self.inner.decide(now)
        return self.change(now, decision) if decision is not None else None

    def change(self, now: int, decision: Decision) -> Decision | None:
        return decision


class Twice(Broken):
    """Sends each query to a second server at once."""

    def change(self, now: int, decision: Decision) -> Decision | None:
        if decision[0] == "dispatch":
            self.more.append(("dispatch", decision[1], (int(decision[2]) + 1) % 8, decision[3]))
        return decision


class Again(Broken):
    """Answers a query a second time."""

    def change(self, now: int, decision: Decision) -> Decision | None:
        if decision[0] in ("bounce", "abort"):
            self.more.append(("abort", decision[1]))
        return decision


class AfterAnswer(Broken):
    """Sends a query that it has just turned away."""

    def change(self, now: int, decision: Decision) -> Decision | None:
        if decision[0] == "bounce":
            self.more.append(("dispatch", decision[1], 0, SECOND))
        return decision


class Silent(Broken):
    """Never says that it has given up."""

    def change(self, now: int, decision: Decision) -> Decision | None:
        return self.decide(now) if decision[0] in ("bounce", "abort") else decision


class Deaf(Broken):
    """Takes what drains or is gone for ready."""

    def learn(self, now: int, entries: list[Entry], whole: bool) -> None:
        self.inner.learn(now, [entry._replace(condition=READY) for entry in entries], whole)


class Bouncer(AtRandom):
    """Calls harmless what may have run."""

    def refuse(self, held: Held) -> None:
        del self.queries[held.number]
        self.said.append(("bounce", held.number, 0))


class Repeater(AtRandom):
    """Sends all again, whatever became of it."""

    def may_send(self, now: int, held: Held) -> bool:
        return now < held.stop and len(held.tried) < 3


class Slow(AtRandom):
    """Refuses what it can't place only after its hard stop."""

    def take(self, now: int, number: int, offering: int, remaining: int, *rest: Any) -> None:
        self.queries[number] = Held(number, self.offerings[offering], now + remaining)
        self.said.append(("wake", remaining + 1000))

    def woken(self, now: int) -> None:
        for number in [number for number, held in self.queries.items() if now > held.stop]:
            del self.queries[number]
            self.said.append(("abort", number))


class Flooder(AtRandom):
    """Prefers what has started last."""

    def pick(self, now: int, held: Held) -> int:
        return max(self.near, key=lambda entry: entry.launched).upstream


LOST = [{"kind": "zone_lost", "zone": "a", "start": 2.0, "end": 8.0}]
FAILING = [{"kind": "errors", "factor": 0.6, "start": 2.0, "end": 10.0}]
DEPLOY = [{"kind": "deploy", "start": 1.0, "end": 11.0}]


@pytest.mark.parametrize(
    ("policy", "rule", "words", "troubles", "offerings"),
    [
        (Twice, 2, "took effect at server", [], [ONCE]),
        (Twice, 2, "it is irreversible", [], [ONCE]),
        (Again, 1, "got a second answer, abort at", LOST, [ONCE]),
        (AfterAnswer, 1, "after its answer, bounce at", LOST, [ONCE]),
        (Silent, 1, "got no answer by its hard stop", LOST, [ONCE]),
        (Slow, 1, "after its hard stop at", [], [ONCE]),
        (Deaf, 3, "that it drains or is gone", DEPLOY, [ONCE]),
        (Bouncer, 2, "was bounced at", FAILING, [ONCE]),
        (Repeater, 2, "is past its window", FAILING, [POST | {"window": 0.001}]),
        (Repeater, 2, "leaves the group that drops its repeats", FAILING, [POST | {"group": "cell"}]),
        (Flooder, 4, "of the limit", DEPLOY, [{"name": "look"}]),
    ],
)  # fmt: skip
def test_a_policy_that_breaks_a_rule_is_caught_by_name(
    policy: Callable[..., Any], rule: int, words: str, troubles: list, offerings: list
) -> None:
    """Names the query, the server and the instants; the clients give up late enough to see all of it."""
    scenario = day(troubles=troubles, offerings=offerings, zones=[
        {"name": "a", "servers": 4, "sidecars": 4, "cells": 2}, {"name": "b", "servers": 4, "sidecars": 4}],
        flows=[{"rate": 60.0 if policy is Slow else 260.0}])  # fmt: skip
    world = World(scenario, 1, make=lambda world, host, **arguments: policy(**arguments))
    result = world.play()
    found = [breach for breach in world.referee.breaches if breach.rule == rule and words in breach.text]
    assert found, result.breaches[:3]
    assert "query " in found[0].text and " s" in found[0].text
    assert result.figures["void"]


def quarter(name: str) -> Run:
    """A shipped scenario at a quarter of its size, so that CI can play all of them."""
    tree, where = scenarios.read_tree(name)
    for n, flow in enumerate(tree["flows"]):
        for key in ("rate", "to"):
            change(tree, f"flows.{n}.{key}", flow.get(key, 0.0) / 4, where)
    for n, zone in enumerate(tree["zones"]):
        change(tree, f"zones.{n}.servers", zone["servers"] // 4, where)
    return Run(name, scenarios.convert(tree, where), {}, "module", 7)


def test_the_referee_is_silent_on_the_module_in_all_shipped_scenarios(tmp_path: Any) -> None:
    """The module keeps the four rules; a scenario that breaks one is a finding, in the module or here."""
    runs = [quarter(name) for name in scenarios.shipped()]
    kept = list(players.sweep(runs, tmp_path, 4))
    assert len(kept) == len(runs) >= 12
    assert {one.scenario: one.failed or one.breaches[:2] for one in kept if one.failed or one.breaches} == {}


def test_a_policy_that_sees_everything_keeps_the_rules_and_is_hardly_beaten() -> None:
    scenario = day(troubles=[*LOST, {"kind": "slow", "factor": 5.0, "share": 0.5, "zone": "b", "start": 2.0}])
    shares = {}
    for policy in ("module", "random", "bound"):
        figures = World(scenario, 1, policy).play().figures
        assert policy == "random" or not figures["void"]
        # Guards against a bound that breaks a rule: it sent to what was ready again, but told as draining.
        late = day(troubles=DEPLOY, list={"late": 2.5})
        assert policy != "bound" or not World(late, 1, policy).play().figures["void"]
        shares[policy] = float(figures["share"])
    assert shares["random"] < shares["module"] < shares["bound"], shares


def test_the_budget_of_a_cold_server_agrees_with_a_plain_count() -> None:
    """Beside the running sum a plain one, over every window that ends at an arrival."""
    chance, window = Random(4), SECOND
    referee = Referee([Terms(0, 0, 0)], [(0, 0)], 0, 3.0, window)
    came: list[tuple[int, float]] = []
    now, plain = 0, 0
    for number in range(2000):
        now += int(chance.expovariate(1 / 20e6))
        came.append((now, chance.uniform(1e6, 90e6)))
        inside = [work for at, work in came if at > now - window]
        plain += len(inside) > 1 and sum(inside) > 3.0 * 0.9 * SECOND
        referee.came_cold(now, 0, came[-1][1], 0.9 * SECOND, number)
    assert referee.count == plain > 10


def test_what_stands_still_or_restarts_is_excused_and_nothing_else() -> None:
    for excuse in (None, "still", "restart", "other"):
        referee = Referee([Terms(2, 0, 0)], [(0, 0)], 0, 3.0, SECOND)
        referee.taken(0, 1, 1, 0, SECOND, sidecar=5)
        if excuse == "still":
            referee.stood_still(5, SECOND // 2, 2 * SECOND)
        elif excuse == "restart":
            referee.restarted(5)
        elif excuse == "other":
            referee.stood_still(6, SECOND // 2, 2 * SECOND)
        referee.close(3 * SECOND)
        assert referee.count == (excuse in (None, "other")), excuse


def test_a_labelled_query_bounced_after_it_may_have_run_needs_the_group_of_all() -> None:
    for group, broken in ((0, 0), (1, 1), (2, 1)):
        referee = Referee([Terms(1, group, SECOND)], [(0, 0), (0, 1)], 0, 3.0, SECOND)
        referee.taken(0, 1, 1, 0, SECOND, 0)
        referee.sent(1, 1, 0, 0, 0, 0)
        referee.ended(1, 0, ERROR)
        referee.answered(2, 1, "bounce")
        assert referee.count == broken
    referee = Referee([Terms(1, 1, SECOND)], [(0, 0)], 0, 3.0, SECOND)
    referee.taken(0, 1, 1, 0, SECOND, 0)
    referee.sent(1, 1, 0, 0, 0, 0)
    referee.ended(1, 0, DONE)
    referee.answered(2, 1, "done")
    assert referee.count == 0
