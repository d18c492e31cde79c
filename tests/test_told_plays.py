"""Generated deployments, played by the real sidecar code on the stand-in network: rules 1 to 3, by a referee
that shares no code with it. A fault that was mended is put back, and the referee has to see it."""

from typing import Any

import pytest

from maddercart.interface import SECOND
from maddercart.policy.balancer import Balancer
from maddercart.rig.plays import play
from maddercart.sidecar import discovery
from maddercart.sidecar.dispatches import Dispatcher


@pytest.mark.parametrize("first", range(0, 40, 8))
def test_rules_hold_on_generated_deployments(first: int) -> None:
    figures = [play(seed) for seed in range(first, first + 8)]
    assert [one for one in figures if one.broken] == []
    assert all(one.done > one.asked // 20 for one in figures), "who refuses all breaks no rule either"


def test_a_play_is_the_same_each_time() -> None:
    assert play(5) == play(5)


def test_without_the_gate_drains_told_while_a_connection_came_up_are_passed_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seed 5, lists asked for, a grace of 100 ms: two queries, the later 502 ms after the drain was told."""
    made = Dispatcher.__init__

    def open_to_all(self: Dispatcher, pool: Any, clock: Any, _: Any, *more: Any) -> None:
        made(self, pool, clock, lambda upstream, dial: True, *more)

    monkeypatch.setattr(Dispatcher, "__init__", open_to_all)
    assert any("rule 3" in line for line in play(5).broken)


def test_with_5_s_of_silence_and_3_s_for_a_call_news_comes_too_late(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENCE", 5 * SECOND)
    monkeypatch.setattr(discovery, "ANSWER_WITHIN", 3 * SECOND)
    assert any("rule 3" in line for line in play(20).broken)


@pytest.mark.parametrize("seed", [64, 78])
def test_without_the_last_look_repeats_go_out_after_their_window(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A labelled repeat, chosen within its window, on a connection that came up after it."""
    monkeypatch.setattr(Balancer, "may_begin", lambda self, now, number: True)
    assert any("rule 2" in line for line in play(seed).broken)
