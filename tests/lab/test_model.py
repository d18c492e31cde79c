"""Checks the lab's model against queueing theory and its own accounting.

An error in the model would distort every figure that the lab reports.
"""

from math import factorial

import numpy as np
import pytest

from maddercart.interface import MILLISECOND, SECOND
from maddercart.lab import workload as workloads
from maddercart.lab.engine import Engine
from maddercart.lab.results import confidence_interval
from maddercart.lab.scenario import parse_scenario
from maddercart.lab.streams import random_stream
from maddercart.lab.world import ModelError, World
from tests.lab.scenarios import REDOABLE_OFFERING, scenario_tree, single_sidecar_queue, small_scenario

MEAN_WORK_MS = 10.0


def erlang_c(cores: int, load: float) -> float:
    """The probability that a query waits in an M/M/c queue."""
    offered_load = load * cores
    waiting_term = offered_load**cores / factorial(cores) / (1 - load)
    return waiting_term / (sum(offered_load**n / factorial(n) for n in range(cores)) + waiting_term)


def is_close(measured: list[float], expected: float) -> bool:
    """Whether the mean is within 3% of the expected value, or within its own confidence interval."""
    estimate = confidence_interval(measured)
    return abs(estimate.mean - expected) <= max(0.03 * expected, estimate.plus_minus)


@pytest.mark.parametrize(("cores", "load"), [(1, 0.5), (1, 0.8), (4, 0.7), (16, 0.9)])
def test_mean_wait_matches_erlang_c(cores: int, load: float) -> None:
    mean_waits_ms = []
    for seed in range(4):
        world = World(
            single_sidecar_queue(1, cores, load, 200.0 / cores + 100.0 / cores**0.5 * (load > 0.75)),
            seed,
            "random",
        )
        world.run()
        server = world.servers[0]
        mean_waits_ms.append(server.total_wait_ns / server.started_count / MILLISECOND)
    expected_ms = erlang_c(cores, load) * MEAN_WORK_MS / (cores * (1 - load))
    assert is_close(mean_waits_ms, expected_ms), (mean_waits_ms, expected_ms)


@pytest.mark.parametrize("load", [0.5, 0.7, 0.9])
def test_two_choices_occupancy_tail_matches_theory(load: float) -> None:
    """Of many servers a fraction load^(2^k - 1) holds k or more; the runs are too short for rare levels."""
    levels = [k for k in (1, 2, 3) if load ** (2**k - 1) > 0.02]
    fractions: dict[int, list[float]] = {k: [] for k in levels}
    for seed in range(3):
        world = World(single_sidecar_queue(150, 1, load, 5.0), seed, "two_choices")
        samples: list[np.ndarray] = []

        def sample(_: None, world: World = world, samples: list = samples) -> None:
            samples.append(np.array([server.held_count() for server in world.servers]))
            if world.engine.now < 5 * SECOND:
                world.engine.schedule(world.engine.now + 20 * MILLISECOND, sample)

        world.engine.schedule(SECOND, sample)  # after the warm-up to the steady state
        world.run()
        for k in levels:
            fractions[k].append(float(np.mean(np.array(samples[:-1]) >= k)))
    for k in levels:
        assert is_close(fractions[k], load ** (2**k - 1)), (k, fractions[k], load ** (2**k - 1))


def test_accounting_check_detects_a_query_lost_in_the_model() -> None:
    """Guards the check of Little's law: without it, a query lost by a bug would look like a shorter queue."""
    world = World(small_scenario(), 1)
    world.engine.schedule(3 * SECOND, lambda _: world.servers[0].running.clear())
    with pytest.raises((ModelError, KeyError)):
        world.run()
    world = World(small_scenario(), 1)
    world.engine.schedule(
        3 * SECOND,
        lambda _: setattr(world.servers[1], "total_sojourn_ns", world.servers[1].total_sojourn_ns + 1),
    )
    with pytest.raises(ModelError, match="server 1"):
        world.run()


def test_simultaneous_events_run_in_scheduling_order_and_past_events_are_rejected() -> None:
    engine, order = Engine(), []
    for n in (3, 1, 2):
        engine.schedule(n % 2, order.append, n)
    engine.run(5)
    assert order == [2, 3, 1]
    with pytest.raises(ValueError, match="before"):
        engine.schedule(4, order.append, 0)


@pytest.mark.parametrize(
    ("flow", "mean"),
    [
        ({"rate": 400.0}, 400.0),
        ({"rate": 100.0, "kind": "ramp", "to": 500.0}, 300.0),
        ({"rate": 400.0, "kind": "wave", "every": 5.0}, 400.0),
        ({"rate": 400.0, "kind": "bursty", "every": 0.2, "depth": 0.25}, 400.0),
    ],
)
def test_mean_arrival_rate_matches_the_flow(flow: dict, mean: float) -> None:
    rates = [
        len(workloads.generate_workload(small_scenario(flows=[flow], seconds=100.0), seed)) / 100
        for seed in range(8)
    ]
    assert is_close(rates, mean)


def test_bursty_flow_is_overdispersed_and_flash_flow_reaches_its_peak() -> None:
    bursty = workloads.generate_workload(
        small_scenario(flows=[{"rate": 300.0, "kind": "bursty", "every": 1.0, "depth": 0.2}], seconds=60.0), 1
    )
    counts = np.bincount((bursty.arrival_ns // (SECOND // 4)).astype(int))
    assert counts.var() > 20 * counts.mean(), "the variance of a Poisson process equals its mean"
    flash = workloads.generate_workload(
        small_scenario(flows=[{"rate": 0.0, "kind": "flash", "to": 900.0, "start": 2.0}]), 1
    )
    counts = np.bincount((flash.arrival_ns // SECOND).astype(int))
    assert counts[:2].sum() == 0 and counts[-1] < counts.max() / 5
    flow = small_scenario(flows=[{"rate": 0.0, "kind": "flash", "to": 900.0, "start": 2.0}]).flows[0]
    assert workloads.intensity(flow, 12.0, random_stream(1, "x"))[1].max() == pytest.approx(900.0, rel=0.02)


def test_work_has_the_configured_mean_and_random_streams_are_independent() -> None:
    for shape in ("fixed", "exponential", "lognormal"):
        terms = parse_scenario(
            scenario_tree(offerings=[{"name": "x", "shape": shape, "work_ms": 20.0, "spread": 1.0}]), "t"
        )
        drawn = workloads.draw_work_ms(terms.offerings[0], 200_000, random_stream(3, "work"))
        assert drawn.mean() == pytest.approx(20.0, rel=0.02)
    one, two = (
        workloads.generate_workload(small_scenario(), 5),
        workloads.generate_workload(small_scenario(network={"jitter": 0.5}, cold={"at_start": 0.5}), 5),
    )
    assert one.digest() == two.digest(), "random draws for servers and network must not change the arrivals"


def test_cold_server_warms_up_and_crowded_server_slows_down() -> None:
    world = World(
        small_scenario(cold={"start": 0.25, "ramp": 8.0}, servers={"crowd_from": 1.0, "crowd_cost": 0.5}), 1
    )
    server = world.servers[0]
    server.started_cold_at = 0
    assert [server.warm_fraction(seconds * SECOND) for seconds in (0, 4, 8, 99)] == [0.25, 0.625, 1.0, 1.0]
    uncrowded = World(small_scenario(), 2).run().figures
    crowded = World(small_scenario(servers={"crowd_from": 0.1, "crowd_cost": 2.0}), 2).run().figures
    assert float(crowded["p50"]) > 1.3 * float(uncrowded["p50"])


def test_server_enforces_its_connection_limit_and_connections_cost_capacity() -> None:
    limited = World(small_scenario(servers={"connections": 2}, clients={"retry": "none"}), 1)
    limited.run()
    assert max(server.connections for server in limited.servers) <= 2
    # A connection that is closed twice would let the server accept one too many.
    assert all(server.connections >= 0 for server in limited.servers)
    costly = World(small_scenario(servers={"connection_cost": 0.2}), 1).run().figures
    assert float(costly["p50"]) > float(World(small_scenario(), 1).run().figures["p50"])


def test_lost_messages_arrive_late_and_configured_zone_delays_apply_both_ways() -> None:
    lossless = World(small_scenario(), 1).run().figures
    lossy = World(small_scenario(network={"loss": 0.05}), 1).run().figures
    assert float(lossy["p95"]) > float(lossless["p95"]) + 0.1, (
        "one message in twenty is retransmitted after 200 ms"
    )
    world = World(small_scenario(network={"delays_ms": {"b-a": 70.0}, "jitter": 0.0}), 1)
    assert world.network.delay(0, 1) == world.network.delay(1, 0) == 70 * MILLISECOND


def test_list_updates_are_delayed_by_a_low_line_rate() -> None:
    """Guards the rate limit of the list: updates must queue up when there are more than it can send."""
    trouble = [{"kind": "deploy", "start": 1.0, "end": 12.0, "batch": 4}]
    fast = World(small_scenario(troubles=trouble, list={"late": 0.0}), 1)
    slow = World(small_scenario(troubles=trouble, list={"late": 0.0, "lines_per_s": 20.0}), 1)
    assert float(fast.run().figures["share"]) > float(slow.run().figures["share"])
    assert slow.discovery.busy_until > fast.discovery.busy_until


def test_clients_retry_as_configured() -> None:
    trouble = [{"kind": "zone_lost", "zone": zone, "start": 2.0, "end": 6.0} for zone in "ab"]
    queries_per_wish = {}
    for retry in ("none", "at_once", "wait", "honour"):  # this policy's bounces ask for a retry after 1 s
        scenario = small_scenario(
            troubles=trouble,
            clients={"retry": retry, "tries": 99, "wait": 0.3},
            offerings=[REDOABLE_OFFERING],
        )
        world = World(scenario, 1, "random")
        queries_per_wish[retry] = int(world.run().figures["queries"]) / len(world.workload)
    assert (
        queries_per_wish["none"]
        == 1.0
        < queries_per_wish["honour"]
        < queries_per_wish["wait"]
        < queries_per_wish["at_once"]
    ), queries_per_wish
