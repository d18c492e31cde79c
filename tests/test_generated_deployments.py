"""Generated deployments, run by the real sidecar code on a simulated network.

A referee that shares no code with the sidecar checks rules 1 to 3. Further tests put a fixed fault back in,
and check that the referee finds it.
"""

from typing import Any

import pytest

from maddercart.interface import SECOND
from maddercart.policy.balancer import Balancer
from maddercart.rig.plays import run_play
from maddercart.sidecar import discovery
from maddercart.sidecar.dispatches import Dispatcher


@pytest.mark.parametrize("first", range(0, 40, 8))
def test_rules_hold_on_generated_deployments(first: int) -> None:
    results = [run_play(seed) for seed in range(first, first + 8)]
    assert [result for result in results if result.violations] == []
    assert all(result.succeeded > result.queries // 20 for result in results), (
        "a sidecar that rejects all queries would also break no rule"
    )


def test_the_same_seed_gives_the_same_result() -> None:
    assert run_play(5) == run_play(5)


def test_referee_finds_queries_to_upstreams_drained_while_the_connection_came_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the check before the first byte, two queries of seed 5 (requested lists, 100 ms of grace) are
    sent too late, the later one 502 ms after the drain was told."""
    original_init = Dispatcher.__init__

    def init_without_check(self: Dispatcher, pool: Any, clock: Any, _: Any, *more: Any) -> None:
        original_init(self, pool, clock, lambda upstream, dial: True, *more)

    monkeypatch.setattr(Dispatcher, "__init__", init_without_check)
    assert any("rule 3" in line for line in run_play(5).violations)


def test_referee_finds_late_changes_with_5_s_of_silence_and_3_s_for_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "WATCH_SILENCE_TIMEOUT_NS", 5 * SECOND)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_NS", 3 * SECOND)
    assert any("rule 3" in line for line in run_play(20).violations)


@pytest.mark.parametrize("seed", [64, 78])
def test_referee_finds_repeats_after_their_window_without_the_check_before_the_first_byte(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A labelled query is dispatched again within its window, but the connection comes up after it."""
    monkeypatch.setattr(Balancer, "may_write", lambda self, now, query: True)
    assert any("rule 2" in line for line in run_play(seed).violations)
