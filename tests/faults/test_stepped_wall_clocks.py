"""Stepped wall clocks, with real processes on loopback and with the balancer alone."""

import asyncio
from pathlib import Path

import pytest

from maddercart.interface import SECOND
from maddercart.messages.upstreams import Listing
from maddercart.rig.processes.fake_discovery import DiscoveryFault
from maddercart.rig.processes.sidecar_group import SidecarGroup
from maddercart.rig.processes.sidecar_process import STOP_SENDING_WITHIN_SECONDS
from maddercart.sidecar.upstreams import upstream_number
from tests.helpers import MS, BalancerHarness, SidecarHarness, entry, list_line

TOLD_WITHIN_SECONDS = 6.0  # after discovery had a change, even if calls to it fail
DELAY_SECONDS = 0.2  # 0.15 s between a sidecar's reading of its clock and a write, and 50 ms on sockets


async def seconds_from_drain_to_last_attempt(
    folder: Path, step_at_start: float, later_step: float, told_before: bool = False
) -> float:
    """Drains an upstream while one of three sidecars has a stepped wall clock and no discovery.

    Its wall clock is stepped by `step_at_start` and then `later_step` seconds. With `told_before` it reaches
    discovery at first. Returns the seconds from the drain to its last request to that upstream.
    """
    async with SidecarGroup(folder, seed=1) as tier:
        cut_off, drained = tier.sidecars[0], tier.upstreams[0]
        if not told_before:
            tier.services[cut_off.name].begin_fault(DiscoveryFault.UNAVAILABLE)
        cut_off.set_wall_clock_offset(step_at_start)
        await tier.start_sidecars()
        cut_off.set_wall_clock_offset(later_step)
        tier.services[cut_off.name].begin_fault(DiscoveryFault.UNAVAILABLE)
        tier.start_clients(
            clients_per_sidecar=4,
            mean_pause_seconds=0.02,
            duration_seconds=TOLD_WITHIN_SECONDS + STOP_SENDING_WITHIN_SECONDS + 2,
        )
        await asyncio.sleep(0.5)
        tier.publish_health("DRAINING", drained)
        drained_at = tier.registry.versions[-1].made_at
        await tier.wait_for_clients()
        assert len(tier.requests) > 500
        sent_at = [
            attempt.first_byte_at
            for attempt in tier.attempts
            if attempt.host == drained.host and attempt.sidecar == cut_off.name
        ]
        return max(sent_at, default=drained_at) - drained_at


@pytest.mark.parametrize(
    ("step_at_start", "later_step"), [(3600, 3600), (-3600, -3600), (5, -3600), (0, 400)]
)
def test_no_request_goes_to_a_draining_server_from_a_machine_with_a_stepped_clock(
    tmp_path: Path, step_at_start: float, later_step: float
) -> None:
    """Reports of other sidecars were dropped for their timestamps, and calls to discovery came up to 12 s
    apart."""
    last = asyncio.run(seconds_from_drain_to_last_attempt(tmp_path, step_at_start, later_step))
    assert last <= TOLD_WITHIN_SECONDS + STOP_SENDING_WITHIN_SECONDS + DELAY_SECONDS


def test_a_sidecar_that_loses_discovery_for_long_learns_of_drains_from_peers(tmp_path: Path) -> None:
    """After discovery's first list, peers were ignored, however long discovery was out of reach."""
    last = asyncio.run(seconds_from_drain_to_last_attempt(tmp_path, 3600, -5, told_before=True))
    assert last <= TOLD_WITHIN_SECONDS + STOP_SENDING_WITHIN_SECONDS + DELAY_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_retries_of_a_failing_discovery_leave_time_to_get_the_list_within_6_s(seed: int) -> None:
    """The pauses grew to 12 s, and delayed by as much what discovery told on its return."""
    driver = BalancerHarness([entry(0), entry(1)], seed=seed)
    answer_time = 2 * SECOND  # of a service that handles calls in turn
    for _ in range(30):
        failed_at = driver.now
        driver.balancer.list_failed(driver.now)
        while ("follow",) not in driver.pull_decisions():
            driver.now += 10 * MS
        assert driver.now - failed_at + answer_time <= TOLD_WITHIN_SECONDS * SECOND


@pytest.mark.parametrize("clock_offset", [-3600, -5, 5, 3600])
def test_an_upstream_that_just_started_is_cold_whatever_the_local_wall_clock_shows(clock_offset: int) -> None:
    """Its start was compared with the local wall clock; on a machine an hour ahead it counted as warm."""
    with SidecarHarness(upstreams=2) as harness:
        node = harness.node
        unix_ms = 1_700_000_000_000 + clock_offset * 1000
        started = list_line("s-1", harness.upstream_addresses[1], born_ms=unix_ms)
        node.on_listings([Listing(2, [started])])
        known = node.driver.balancer.registry.by_id[upstream_number("s-1")]
        ramp, now = node.driver.balancer.registry.ramp, harness.node.clock()
        assert now + ramp - SECOND < known.warm_at <= now + ramp
