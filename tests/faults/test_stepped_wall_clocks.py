"""Machines whose wall clock is stepped: real processes on loopback, and the decisions on their own."""

import asyncio
from pathlib import Path

import pytest

from maddercart.interface import SECOND
from maddercart.messages.upstreams import Listing
from maddercart.rig.processes.discovery import Trouble
from maddercart.rig.processes.sidecar import GRACE
from maddercart.rig.processes.tier import Tier
from maddercart.sidecar.upstreams import number_of
from tests.helpers import MS, Desk, Host, entry, host

TOLD_AT_THE_LATEST = 6.0  # seconds after discovery had a change, whatever calls to it come to
HOLD_UP = 0.2  # seconds: 0.15 s between a sidecar's look at its clock and a write, and 50 ms on sockets


async def last_attempt_after_a_drain(
    folder: Path, at_start: float, in_the_middle: float, told_before: bool = False
) -> float:
    """One sidecar of three can't reach discovery and stands on a stepped machine; the drain is told to the
    others. Returns how many seconds later it last sent something to the draining upstream."""
    async with Tier(folder, seed=1) as tier:
        cut_off, drained = tier.sidecars[0], tier.upstreams[0]
        if not told_before:
            tier.services[cut_off.name].begin(Trouble.UNAVAILABLE)
        cut_off.step_wall_clock(at_start)
        await tier.start()
        cut_off.step_wall_clock(in_the_middle)
        tier.services[cut_off.name].begin(Trouble.UNAVAILABLE)
        tier.begin_clients(each=4, pause=0.02, span=TOLD_AT_THE_LATEST + GRACE + 2)
        await asyncio.sleep(0.5)
        tier.change("DRAINING", drained)
        drained_at = tier.registry.versions[-1].made_at
        await tier.clients_done()
        assert len(tier.asked) > 500
        late = [
            a.first_byte_at for a in tier.attempts if a.host == drained.host and a.sidecar == cut_off.name
        ]
        return max(late, default=drained_at) - drained_at


@pytest.mark.parametrize(("at_start", "in_the_middle"), [(3600, 3600), (-3600, -3600), (5, -3600), (0, 400)])
def test_no_request_goes_to_a_draining_server_from_a_machine_with_a_stepped_clock(
    tmp_path: Path, at_start: float, in_the_middle: float
) -> None:
    """Other sidecars' word was dropped for its time, and calls to discovery came up to 12 s apart."""
    last = asyncio.run(last_attempt_after_a_drain(tmp_path, at_start, in_the_middle))
    assert last <= TOLD_AT_THE_LATEST + GRACE + HOLD_UP


def test_a_sidecar_that_discovery_turns_away_for_long_hears_of_drains_from_others(tmp_path: Path) -> None:
    """Once discovery had spoken, the others' word counted no more, however long it was out of reach."""
    last = asyncio.run(last_attempt_after_a_drain(tmp_path, 3600, -5, told_before=True))
    assert last <= TOLD_AT_THE_LATEST + GRACE + HOLD_UP


@pytest.mark.parametrize("seed", range(20))
def test_calls_to_a_discovery_that_fails_leave_time_for_the_list_within_6_s(seed: int) -> None:
    """The pauses grew to 12 s: what discovery told on its return was learnt that much later."""
    host = Host([entry(0), entry(1)], seed=seed)
    answer_within = 2 * SECOND  # of a service that works through calls in turn
    for _ in range(30):
        failed_at = host.now
        host.balancer.list_failed(host.now)
        while ("follow",) not in host.pull():
            host.now += 10 * MS
        assert host.now - failed_at + answer_within <= TOLD_AT_THE_LATEST * SECOND


@pytest.mark.parametrize("off", [-3600, -5, 5, 3600])
def test_an_upstream_that_is_told_to_have_started_is_cold_whatever_our_wall_clock_says(off: int) -> None:
    """Its start was compared with our own wall time: on a machine an hour ahead it counted as warm."""
    with Desk(upstreams=2) as desk:
        node = desk.node
        unix_ms = 1_700_000_000_000 + off * 1000
        started = host("s-1", desk.dials[1], born_ms=unix_ms)
        node.learn([Listing(2, [started])])
        known = node.decisions.balancer.roster.by_id[number_of("s-1")]
        ramp, now = node.decisions.balancer.roster.ramp, desk.node.clock()
        assert now + ramp - SECOND < known.warm_at <= now + ramp
