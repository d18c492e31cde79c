"""Checks rules 1 to 3 on what clients, upstreams and discovery recorded during a play.

It shares no code with the sidecar: the moment from which the sidecar counts as informed of a list change is
derived here independently, from the operators' documentation.
"""

from dataclasses import dataclass, field

from maddercart.interface import MILLISECOND, SECOND
from maddercart.rig.simulated_clients import ClientQuery
from maddercart.rig.simulated_discovery import FakeDiscovery, ListVersion
from maddercart.rig.simulated_upstreams import SentDispatch

TIMING_TOLERANCE_NS = 50 * MILLISECOND  # allowance for socket input and output
# Within these times of a watch's falling silent, or of a move to another discovery service, the sidecar must
# have obtained the list's changes anew; after them it counts as informed.
SILENT_WATCH_LIMIT_NS, DISCOVERY_MOVE_LIMIT_NS = 6 * SECOND, 4 * SECOND
NEVER = 1 << 62  # an instant after any other


@dataclass
class SidecarLifetime:
    """One sidecar process."""

    started_at: int
    known_version: int  # version of the list in its configuration at the start
    ended_at: int = NEVER
    moved_at: int = NEVER  # when a reload named another discovery service


@dataclass
class RuleSettings:
    """The settings that the rules depend on."""

    push: bool  # whether discovery pushes the list through a watch; otherwise the sidecar polls it
    drain_grace: int
    ask_within: int
    zone_count: int
    idempotency_window: int


@dataclass
class Observations:
    """Everything recorded during one play."""

    settings: RuleSettings
    history: list[ListVersion]
    discoveries: list[FakeDiscovery]
    lifetimes: list[SidecarLifetime]
    queries: list[ClientQuery]
    dispatches: list[SentDispatch]
    silenced_at: list[int] = field(default_factory=list)  # when open watches fell silent
    restored_at: list[int] = field(default_factory=list)  # when discovery was available again


def lifetime_at(observed: Observations, at: int) -> SidecarLifetime:
    """The sidecar process that was running at an instant."""
    return next(lifetime for lifetime in reversed(observed.lifetimes) if lifetime.started_at <= at)


def informed_at(observed: Observations, version: int, lifetime: SidecarLifetime, now: int) -> int:
    """The instant from which a sidecar process counts as informed of a version of the list.

    It is judged as of `now`: calls to discovery up to `now` are taken into account. `NEVER` if it doesn't
    count as informed.
    """
    published_at, settings = observed.history[version].published_at, observed.settings
    if version <= lifetime.known_version:
        return lifetime.started_at
    writes = [
        at
        for discovery in observed.discoveries
        for at, written_version in discovery.writes
        if written_version >= version
    ]
    informed = min([at for at in writes if lifetime.started_at <= at < lifetime.ended_at], default=NEVER)
    silenced = max(
        (at for at in observed.silenced_at if lifetime.started_at <= at <= published_at), default=None
    )
    # The watch fell silent before the change and no other has been written to since.
    if silenced is not None and not any(silenced < at <= published_at for at in writes):
        informed = min(informed, max(published_at, silenced + SILENT_WATCH_LIMIT_NS))
    elif published_at < lifetime.moved_at + DISCOVERY_MOVE_LIMIT_NS and lifetime.moved_at < NEVER:
        informed = min(informed, max(published_at, lifetime.moved_at + DISCOVERY_MOVE_LIMIT_NS))
    if settings.push:
        # One time limit covers a silence that isn't detected yet, and it is applied above.
        if any(at <= published_at < at + SILENT_WATCH_LIMIT_NS for at in observed.silenced_at):
            return informed
        available_at = (
            min((at for at in observed.restored_at if at >= published_at), default=published_at)
            if discovery_down_at(observed, published_at)
            else published_at
        )
        moving = lifetime.moved_at <= available_at < lifetime.moved_at + DISCOVERY_MOVE_LIMIT_NS
        return min(
            informed,
            max(lifetime.started_at, lifetime.moved_at + DISCOVERY_MOVE_LIMIT_NS if moving else available_at),
        )
    calls = [
        call
        for discovery in observed.discoveries
        for call in discovery.calls
        if lifetime.started_at <= call[0] <= now
    ]
    last_call, answered = max(calls, default=(lifetime.started_at, True))
    # After an unanswered call the sidecar has four times as long.
    call_limit = last_call + settings.ask_within * (1 if answered else 4)
    restored = max((at for at in observed.restored_at if at >= published_at), default=0)
    return min(informed, max(published_at + settings.ask_within, call_limit, restored + settings.ask_within))


def discovery_down_at(observed: Observations, at: int) -> bool:
    """Whether discovery was back within 3 s after this instant, and so counts as unavailable at it."""
    return any(at < restored < at + 3 * SECOND for restored in observed.restored_at)


def check_drains(observed: Observations) -> list[str]:
    """Rule 3: no new dispatch to a withdrawn upstream later than the drain grace after being informed."""
    violations = []
    for dispatch in observed.dispatches:
        lifetime = lifetime_at(observed, dispatch.sent_at)
        states = [  # (version, published at, health)
            (update.version, update.published_at, entry["health"])
            for update in observed.history for entry in update.entries if entry["host"] == dispatch.host
        ]  # fmt: skip
        serving = [version for version, at, state in states if state == "SERVING" and at <= dispatch.sent_at]
        last_serving = max(serving, default=-1)
        withdrawn = [
            version for version, _, health in states if health != "SERVING" and version > last_serving
        ]
        for version in withdrawn[:1]:
            lateness = dispatch.sent_at - informed_at(observed, version, lifetime, dispatch.sent_at)
            if lateness > observed.settings.drain_grace + TIMING_TOLERANCE_NS:
                detail = f"{lateness // MILLISECOND} ms after it was told to leave"
                violations.append(f"rule 3: {dispatch.trace_id} to {dispatch.host} {detail}")
    return violations


def check_answers(observed: Observations) -> list[str]:
    """Rule 1: each query gets one final answer before its hard stop, and no dispatch after the answer."""
    violations = []
    last_sent_at = {dispatch.trace_id: dispatch.sent_at for dispatch in observed.dispatches}
    for query in observed.queries:
        if query.excused:
            continue
        if len(query.responses) != 1:
            violations.append(f"rule 1: {query.trace_id} got {len(query.responses)} answers")
            continue
        at, status = query.responses[0]
        if at > query.hard_stop_at + TIMING_TOLERANCE_NS:
            violations.append(
                f"rule 1: {query.trace_id} was answered {(at - query.hard_stop_at) // MILLISECOND} ms late"
            )
        if status not in (200, 502, 503):
            violations.append(f"rule 1: {query.trace_id} was answered {status}")
        if last_sent_at.get(query.trace_id, 0) > at:
            violations.append(f"rule 1: {query.trace_id} was sent on after its answer")
    return violations


def check_effects(observed: Observations) -> list[str]:
    """Rule 2: no query takes effect twice.

    The offering `look` is redoable, `post` is labelled and confined to one zone, `once` is irreversible.
    """
    violations = []
    executed_by_trace: dict[str, list[SentDispatch]] = {}
    for dispatch in observed.dispatches:
        if dispatch.executed:
            executed_by_trace.setdefault(dispatch.trace_id, []).append(dispatch)
    for query in observed.queries:
        executed = executed_by_trace.get(query.trace_id, [])
        bounced = any(status == 503 for _, status in query.responses)
        if query.offering == "look" or not executed:
            continue
        if bounced:
            violations.append(f"rule 2: {query.trace_id} was bounced and has run")
        if query.offering == "once" and len(executed) > 1:
            violations.append(f"rule 2: {query.trace_id} ran {len(executed)} times")
        if query.offering == "post":
            if len({dispatch.zone for dispatch in executed}) > 1:
                violations.append(f"rule 2: {query.trace_id} ran in several zones")
            if (
                max(dispatch.sent_at for dispatch in executed)
                - min(dispatch.sent_at for dispatch in executed)
                > observed.settings.idempotency_window + TIMING_TOLERANCE_NS
            ):
                violations.append(f"rule 2: {query.trace_id} ran again after its window")
    return violations


def check_rules(observed: Observations) -> list[str]:
    """One line for each violation; empty if all rules hold."""
    return check_answers(observed) + check_effects(observed) + check_drains(observed)
