"""Offerings restricted to zones or kinds of machine, and lists of which only draining is binding."""

import json
from random import Random
from typing import Any

import pytest

from maddercart import interface as i
from maddercart.balancer_settings import SettingsError, balancer_arguments
from maddercart.messages.config import Settings
from maddercart.wirehost.settings import read_settings
from tests.helpers import (
    WIRE_SETTINGS,
    BalancerHarness,
    SidecarHarness,
    entry,
    http_response,
    offering,
    permits,
    sidecar_config,
)

HOME_ONLY = offering(zones=frozenset({0}))


def fleet(count: int = 6) -> list[i.ListEntry]:
    return [entry(n, n % 2)._replace(kind=n % 3) for n in range(count)]


def upstreams_of(made: list[i.Decision]) -> list[int]:
    """The upstreams of the dispatches among some decisions."""
    return [int(decision[2]) for decision in made if decision[0] == "dispatch"]


def test_restricted_query_stays_in_its_zone_when_all_upstreams_there_are_down() -> None:
    """It was once failed over, retried in another zone, and sent to the backup zone as a canary."""
    host = BalancerHarness(fleet(), offerings=[HOME_ONLY, offering()])
    for query in range(1, 61):
        made = host.take(0)
        while sent := upstreams_of(made):
            assert all(number % 2 == 0 for number in sent)
            made = host.end_dispatch(
                query, len(host.dispatch_numbers) and host.dispatch_numbers[query], i.UNREACHABLE
            )
        assert made[-1][0] in ("bounce", "wake") or any(d[0] == "bounce" for d in made)
        host.advance(200 * i.MILLISECOND)
    assert host.balancer.registry.ready[1], "another zone is ready, and was not used"


def test_query_that_no_upstream_may_get_is_bounced_at_once_with_a_retry_delay() -> None:
    for restricted in (offering(zones=frozenset()), offering(kinds=frozenset({9}))):
        host = BalancerHarness(fleet(), offerings=[restricted])
        made = [d for d in host.take() if d[0] != "wake"]
        assert [d[0] for d in made if d[0] != "follow"] == ["bounce"] and int(made[-1][2]) > 0


@pytest.mark.parametrize("seed", range(12))
def test_every_dispatch_respects_the_restrictions_of_its_offering(seed: int) -> None:
    """Compares each dispatch with the plain rule, on generated fleets and outcomes with repeats, canaries,
    failover and return."""
    random = Random(seed)
    offerings = [
        offering(zones=frozenset({0})), offering(i.LABELLED, i.SAME_ZONE, kinds=frozenset({0, 2})),
        offering(zones=frozenset({1}), kinds=frozenset({1})), offering(),
    ]  # fmt: skip
    lines = {line.upstream: line for line in fleet(12)}
    host = BalancerHarness(
        list(lines.values()), offerings=offerings, permits=permits(may_probe=seed % 2 == 0), seed=seed
    )
    terms: dict[int, i.Offering] = {}
    sent: set[tuple[int, int]] = set()
    for _ in range(400):
        action = random.random()
        if action < 0.4:
            kind = random.randrange(4)
            terms[host.queries + 1] = offerings[kind]
            host.take(kind)
        elif action < 0.85 and host.outstanding:
            query, attempt = random.choice(sorted(host.outstanding))
            outcomes = [i.DONE, i.DONE, i.UNREACHABLE, i.FAILED, i.REJECTED, i.RESET]
            host.end_dispatch(query, attempt, random.choice(outcomes))
        elif action < 0.9:
            number = random.choice(sorted(lines))
            changed = lines[number]._replace(zone=random.randrange(2), kind=random.randrange(3))
            lines[number] = changed._replace(condition=random.choice([i.READY, i.READY, i.DRAINING]))
            host.balancer.update_list(host.now, [lines[number]], False)
            host.pull_decisions()
        else:
            host.advance(random.randrange(600) * i.MILLISECOND)
        for (query, attempt), (upstream, at, _) in host.outstanding.items():
            if (query, attempt) not in sent and at == host.now:
                assert terms[query].allows(lines[upstream]), (query, attempt, lines[upstream])
            sent.add((query, attempt))
    assert len(sent) > 50


def test_upstream_seen_draining_gets_no_query_until_it_has_restarted() -> None:
    for draining_binds in (True, False):
        host = BalancerHarness([entry(1), entry(2)], permits=permits(only_draining_binds=draining_binds))
        for line in (entry(1, condition=i.DRAINING), entry(1, condition=i.GONE), entry(1)):
            host.balancer.update_list(host.now, [line], False)
        host.balancer.update_list(host.now, [entry(1), entry(2)], True)
        ready = {upstream.entry.upstream for upstream in host.balancer.registry.ready[0]}
        assert ready == ({2} if draining_binds else {1, 2})
        host.balancer.update_list(host.now, [entry(1, started_at=host.now)], False)
        assert len(host.balancer.registry.ready[0]) == 2, "the upstream has restarted"


def settings(**more: Any) -> dict[str, Any]:
    """Settings with changed terms of the first offering."""
    made = json.loads(sidecar_config([]))["settings"]
    made["offerings"][0] |= more
    return made


@pytest.mark.parametrize("words", [["nowhere"], ["a", 7], [-1]])
def test_unknown_zone_or_kind_is_an_error_that_names_the_setting(words: list[Any]) -> None:
    import msgspec

    for key in ("confined_to", "kinds_open"):
        with pytest.raises(SettingsError, match=f"offerings.0.{key}"):
            balancer_arguments(msgspec.convert(settings(**{key: words}), Settings))


def test_sidecar_and_simulator_settings_restrict_offerings_alike() -> None:
    import msgspec

    text = (
        WIRE_SETTINGS.replace("semantics=guarded", "semantics=free").replace("kinds=\n", "kinds=m\n")
        + "offerings.0.confined_to=1\nofferings.0.kinds_open=\nrules.removal_not_binding=true\n"
    )
    by_number = balancer_arguments(read_settings(text))
    named = settings(confined_to=["b", "b"], kinds_open=[])
    named["rules"]["removal_not_binding"] = True
    by_name = balancer_arguments(msgspec.convert(named, Settings))
    for made in (by_number, by_name):
        assert made["offerings"][0].zones == {1} and made["offerings"][0].kinds == frozenset()
        assert made["permits"].only_draining_binds


def test_reload_changes_restrictions_and_held_queries_keep_theirs_renumbered() -> None:
    with SidecarHarness(upstreams=4) as desk:
        first = json.loads(sidecar_config([]))["settings"]
        first["offerings"][0]["confined_to"] = ["b"]
        desk.config["settings"] = first
        desk.node.reload()
        terms = desk.node.driver.balancer.offerings[0]
        assert terms.zones == {1}
        client = desk.send_request()
        desk.run_until(lambda: desk.node.driver.pending)
        desk.config["settings"] = first | {"zones": ["b", "a"]}
        desk.node.reload()
        (query,) = desk.node.driver.balancer.held.by_number.values()
        assert query.terms.zones == {0}, "zone b, under its new number"
        (out,) = desk.node.driver.pending.values()
        listener = int(desk.node.upstreams.names[out.upstream][2:])
        assert listener % 2 == 1, "an upstream of zone b"
        upstream = desk.accept(listener)
        desk.read(upstream)
        upstream.sendall(http_response())
        assert desk.response_status(client) == 200
