"""Offerings that are bound to zones or kinds of machine, and lists in which only draining binds."""

import json
from random import Random
from typing import Any

import pytest

from maddercart import interface as i
from maddercart.messages.config import Settings
from maddercart.translation import SettingsError, balancer_arguments
from maddercart.wirehost.settings import read_settings
from tests.helpers import Desk, Host, answer, config, entry, offering, permits

HERE = offering(zones=frozenset({0}))


def fleet(count: int = 6) -> list[i.Entry]:
    return [entry(n, n % 2)._replace(kind=n % 3) for n in range(count)]


def where(made: list[i.Decision]) -> list[int]:
    return [int(decision[2]) for decision in made if decision[0] == "dispatch"]


def test_a_bound_query_stays_also_when_all_that_is_open_is_down() -> None:
    """The old module failed over with it, retried it abroad, and sent it as a canary to the backup."""
    desk = Host(fleet(), offerings=[HERE, offering()])
    for asked in range(1, 61):
        made = desk.take(0)
        while sent := where(made):
            assert all(number % 2 == 0 for number in sent)
            made = desk.end(asked, len(desk.shots) and desk.shots[asked], i.UNREACHABLE)
        assert made[-1][0] in ("bounce", "wake") or any(d[0] == "bounce" for d in made)
        desk.run(200 * i.MILLISECOND)
    assert desk.balancer.roster.zones[1], "others are there, and were not used"


def test_nothing_open_is_one_bounce_at_once_with_a_come_back_time() -> None:
    for bound in (offering(zones=frozenset()), offering(kinds=frozenset({9}))):
        desk = Host(fleet(), offerings=[bound])
        made = [d for d in desk.take() if d[0] != "wake"]
        assert [d[0] for d in made if d[0] != "follow"] == ["bounce"] and int(made[-1][2]) > 0


@pytest.mark.parametrize("seed", range(12))
def test_placement_holds_at_every_dispatch(seed: int) -> None:
    """Beside the plain rule, on generated fleets and outcomes: first, further, canary, failover, return."""
    chance = Random(seed)
    bound = [
        offering(zones=frozenset({0})), offering(i.LABELLED, i.SAME_ZONE, kinds=frozenset({0, 2})),
        offering(zones=frozenset({1}), kinds=frozenset({1})), offering(),
    ]  # fmt: skip
    lines = {line.upstream: line for line in fleet(12)}
    desk = Host(list(lines.values()), offerings=bound, permits=permits(probes=seed % 2 == 0), seed=seed)
    terms: dict[int, i.Offering] = {}
    sent: set[tuple[int, int]] = set()
    for _ in range(400):
        act = chance.random()
        if act < 0.4:
            kind = chance.randrange(4)
            terms[desk.queries + 1] = bound[kind]
            desk.take(kind)
        elif act < 0.85 and desk.out:
            query, shot = chance.choice(sorted(desk.out))
            ends = [i.DONE, i.DONE, i.UNREACHABLE, i.ERROR, i.FULL, i.RESET]
            desk.end(query, shot, chance.choice(ends))
        elif act < 0.9:
            number = chance.choice(sorted(lines))
            moved = lines[number]._replace(zone=chance.randrange(2), kind=chance.randrange(3))
            lines[number] = moved._replace(condition=chance.choice([i.READY, i.READY, i.DRAINING]))
            desk.balancer.learn(desk.now, [lines[number]], False)
            desk.pull()
        else:
            desk.run(chance.randrange(600) * i.MILLISECOND)
        for (query, shot), (upstream, at, _) in desk.out.items():
            if (query, shot) not in sent and at == desk.now:
                assert terms[query].open_to(lines[upstream]), (query, shot, lines[upstream])
            sent.add((query, shot))
    assert len(sent) > 50


def test_who_was_seen_draining_stays_closed_until_it_has_restarted() -> None:
    for binds in (True, False):
        desk = Host([entry(1), entry(2)], permits=permits(drains=binds))
        for line in (entry(1, condition=i.DRAINING), entry(1, condition=i.GONE), entry(1)):
            desk.balancer.learn(desk.now, [line], False)
        desk.balancer.learn(desk.now, [entry(1), entry(2)], True)
        ready = {one.entry.upstream for one in desk.balancer.roster.zones[0]}
        assert ready == ({2} if binds else {1, 2})
        desk.balancer.learn(desk.now, [entry(1, launched=desk.now)], False)
        assert len(desk.balancer.roster.zones[0]) == 2, "it has restarted"


def settings(**more: Any) -> dict[str, Any]:
    made = json.loads(config([]))["settings"]
    made["offerings"][0] |= more
    return made


@pytest.mark.parametrize("words", [["nowhere"], ["a", 7], [-1]])
def test_a_zone_or_kind_that_there_is_not_is_one_error_with_its_name(words: list[Any]) -> None:
    import msgspec

    for key in ("confined_to", "kinds_open"):
        with pytest.raises(SettingsError, match=f"offerings.0.{key}"):
            balancer_arguments(msgspec.convert(settings(**{key: words}), Settings))


def test_both_hosts_read_placement_alike() -> None:
    import msgspec

    wire = "\n".join([
        "offerings.count=1", "offerings.0.semantics=free", "offerings.0.agreed_time=0.5",
        "zones=a,b", "kinds=m", "offerings.0.confined_to=1", "offerings.0.kinds_open=",
        "limits.most_dispatches=2",
        "rules.cold_from=0.2", "rules.ramp_time=1", "rules.fall_multiple=3", "rules.overload_for=1",
        "rules.removal_not_binding=true",
    ])  # fmt: skip
    by_wire = balancer_arguments(read_settings(wire))
    named = settings(confined_to=["b", "b"], kinds_open=[])
    named["rules"]["removal_not_binding"] = True
    by_name = balancer_arguments(msgspec.convert(named, Settings))
    for made in (by_wire, by_name):
        assert made["offerings"][0].zones == {1} and made["offerings"][0].kinds == frozenset()
        assert made["permits"].drains


def test_sighup_changes_placement_and_held_queries_keep_theirs_by_the_new_numbers() -> None:
    with Desk(upstreams=4) as desk:
        first = json.loads(config([]))["settings"]
        first["offerings"][0]["confined_to"] = ["b"]
        desk.config["settings"] = first
        desk.node.renew()
        terms = desk.node.decisions.balancer.offerings[0]
        assert terms.zones == {1}
        client = desk.ask()
        desk.turn(lambda: desk.node.decisions.out)
        desk.config["settings"] = first | {"zones": ["b", "a"]}
        desk.node.renew()
        (query,) = desk.node.decisions.balancer.ledger.queries.values()
        assert query.terms.zones == {0}, "zone b, by its new number"
        (out,) = desk.node.decisions.out.values()
        ear = int(desk.node.upstreams.names[out.upstream][2:])
        assert ear % 2 == 1, "one of zone b"
        upstream = desk.accept(ear)
        desk.read(upstream)
        upstream.sendall(answer())
        assert desk.reply(client) == 200
