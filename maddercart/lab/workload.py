"""Workload generation: who asks for what, when and where, and how much work it is.

A workload is generated before the run starts, from random streams that no policy draws from, so every policy
gets the same one.
"""

from dataclasses import dataclass
from hashlib import blake2b

import numpy as np
from numpy.typing import NDArray

from maddercart.interface import SECOND
from maddercart.lab.scenario import Flow, OfferingTerms, Scenario
from maddercart.lab.streams import random_stream

# Rates are constant over a step of this length, which is far shorter than any trouble.
GRID_SECONDS = 0.01
Ints = NDArray[np.int64]
Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Workload:
    """One row for each wish of a client, ordered by time."""

    arrival_ns: Ints
    sidecar: Ints
    offering: Ints
    tenant: Ints  # -1: none
    work_ns: Ints  # on one core of a server of speed 1
    failure_draw: Floats  # 0 to 1: decides whether a server that fails a share of its queries fails this one

    def __len__(self) -> int:
        return len(self.arrival_ns)

    def digest(self) -> str:
        hasher = blake2b(digest_size=16)
        for column in (
            self.arrival_ns,
            self.sidecar,
            self.offering,
            self.tenant,
            self.work_ns,
            self.failure_draw,
        ):
            hasher.update(np.ascontiguousarray(column).tobytes())
        return hasher.hexdigest()


def intensity(flow: Flow, end: float, generator: np.random.Generator) -> tuple[Floats, Floats]:
    """Returns the midpoint (seconds) of each step of the grid and the arrival rate there (per second)."""
    steps = max(1, round((end - flow.start) / GRID_SECONDS))
    at = flow.start + (np.arange(steps) + 0.5) * (end - flow.start) / steps
    progress = (at - flow.start) / (end - flow.start)
    match flow.kind:
        case "poisson":
            rates = np.full(steps, flow.rate)
        case "ramp":
            rates = flow.rate + (flow.to - flow.rate) * progress
        case "wave":
            rates = flow.rate * (1 + flow.depth * np.sin(2 * np.pi * (at - flow.start) / flow.every))
        case "flash":  # rises during the first tenth, then decays exponentially
            rates = flow.rate + (flow.to - flow.rate) * np.minimum(
                progress / 0.1, np.exp(-4 * (progress - 0.1))
            )
        case "bursty":  # exponential on and off periods; `rate` is the mean
            on = np.zeros(steps, dtype=bool)
            is_on, elapsed = generator.random() < flow.depth, 0.0
            mean_off = flow.every * (1 - flow.depth) / max(flow.depth, 1e-9)
            while elapsed < end - flow.start:
                length = generator.exponential(flow.every if is_on else mean_off)
                on[int(elapsed / GRID_SECONDS) : int((elapsed + length) / GRID_SECONDS) + 1] = is_on
                elapsed, is_on = elapsed + max(length, GRID_SECONDS), not is_on
            rates = np.where(on, flow.rate / max(flow.depth, 1e-9), 0.0)
    return np.asarray(at), np.asarray(rates, dtype=np.float64)


def arrivals(flow: Flow, end: float, generator: np.random.Generator) -> Floats:
    """Arrival times in seconds of a Poisson process, drawn by inverting the integral of its intensity."""
    _, rates = intensity(flow, end, generator)
    step = (end - flow.start) / len(rates)
    integral = np.concatenate([[0.0], np.cumsum(rates * step)])
    draws = np.sort(generator.random(generator.poisson(integral[-1]))) * integral[-1]
    edges = flow.start + np.arange(len(integral)) * step
    return np.asarray(np.interp(draws, integral, edges), dtype=np.float64)


def draw_work_ms(offering: OfferingTerms, count: int, generator: np.random.Generator) -> Floats:
    """Draws the work of `count` queries in milliseconds, with the mean `work_ms`."""
    if offering.shape == "fixed":
        return np.full(count, offering.work_ms)
    if offering.shape == "exponential":
        return generator.exponential(offering.work_ms, count)
    return offering.work_ms * np.exp(generator.normal(-(offering.spread**2) / 2, offering.spread, count))


def sidecar_shares(scenario: Scenario, seed: int) -> Floats:
    """Each sidecar's share of the queries; the shares of all zones add up to 1."""
    shares = []
    for index, zone in enumerate(scenario.zones):
        factors = np.exp(
            random_stream(seed, "sidecars", index).normal(0.0, scenario.sidecars.unequal, zone.sidecars)
        )
        shares.append(zone.share * factors / factors.sum() if zone.sidecars else factors)
    return np.asarray(np.concatenate(shares) / sum(share.sum() for share in shares))


def generate_workload(scenario: Scenario, seed: int) -> Workload:
    """Generates the workload of a scenario; it depends on the scenario and the seed alone."""
    shares = sidecar_shares(scenario, seed)
    zone_of = np.repeat(np.arange(len(scenario.zones)), [zone.sidecars for zone in scenario.zones])
    times, sidecars = [], []
    for index, flow in enumerate(scenario.flows):
        generator = random_stream(seed, "arrivals", index)
        at = arrivals(flow, scenario.end_seconds(flow), generator)
        flow_shares = shares * (zone_of == scenario.zone_index(flow.zone)) if flow.zone else shares
        if not flow_shares.sum():
            continue
        times.append(at)
        sidecars.append(generator.choice(len(flow_shares), len(at), p=flow_shares / flow_shares.sum()))
    at, sidecar = np.concatenate(times), np.concatenate(sidecars)
    tenant = (
        draw_by_share(scenario.tenants, len(at), random_stream(seed, "tenants")) if scenario.tenants else None
    )
    for index, trouble in enumerate(scenario.troubles):
        if trouble.kind == "tenant_burst" and tenant is not None:
            tenant_index = [candidate.name for candidate in scenario.tenants].index(trouble.tenant)
            inside = (at >= trouble.start) & (at < scenario.end_seconds(trouble)) & (tenant == tenant_index)
            draws = random_stream(seed, "bursts", index)
            repeated = (
                np.flatnonzero(inside)[
                    draws.integers(0, max(1, inside.sum()), int(inside.sum() * max(0.0, trouble.factor - 1)))
                ]
                if inside.any()
                else np.zeros(0, dtype=np.int64)
            )
            repeat_times = trouble.start + draws.random(len(repeated)) * (
                scenario.end_seconds(trouble) - trouble.start
            )
            at, sidecar, tenant = (
                np.concatenate([old, new])
                for old, new in ((at, repeat_times), (sidecar, sidecar[repeated]), (tenant, tenant[repeated]))
            )
    order = np.argsort(at, kind="stable")
    at, sidecar = at[order], sidecar[order]
    tenants = tenant[order] if tenant is not None else np.full(len(at), -1)
    offering = draw_by_share(scenario.offerings, len(at), random_stream(seed, "offerings"))
    work_ms = np.zeros(len(at))
    for index, terms in enumerate(scenario.offerings):
        selected = offering == index
        work_ms[selected] = draw_work_ms(terms, int(selected.sum()), random_stream(seed, "work", index))
    return Workload(
        arrival_ns=(at * SECOND).astype(np.int64),
        sidecar=sidecar.astype(np.int64),
        offering=offering.astype(np.int64),
        tenant=tenants.astype(np.int64),
        work_ns=np.maximum(1, work_ms * 1e6).astype(np.int64),
        failure_draw=random_stream(seed, "luck").random(len(at)),
    )


def draw_by_share(choices: list, count: int, generator: np.random.Generator) -> Ints:  # type: ignore[type-arg]
    """Draws `count` indices into a list of offerings or tenants, in proportion to their shares."""
    shares = np.array([choice.share for choice in choices], dtype=np.float64)
    return generator.choice(len(choices), count, p=shares / shares.sum())
