"""Judges a play on the stand-in network: rules 1 to 3, by what clients, upstreams and discovery noted. It
shares no code with the sidecar; what counts as told is written out here from the operators' page."""

from dataclasses import dataclass, field

from maddercart.interface import MILLISECOND, SECOND
from maddercart.rig.world import Asked, Sent, Service, Told

SLACK = 50 * MILLISECOND  # on sockets
SILENT_COUNTS, MOVED_COUNTS = 6 * SECOND, 4 * SECOND
NEVER = 1 << 62


@dataclass
class Life:
    """One process of the sidecar."""

    start: int
    known: int  # version of the list that it was started with
    end: int = NEVER
    moved: int = NEVER  # when SIGHUP named another discovery


@dataclass
class Terms:
    push: bool
    grace: int
    ask_within: int
    zones: int
    window: int


@dataclass
class Seen:
    """All that was noted in one play."""

    terms: Terms
    history: list[Told]
    services: list[Service]
    lives: list[Life]
    asked: list[Asked]
    sent: list[Sent]
    silent: list[int] = field(default_factory=list)  # when the open watches fell silent
    back: list[int] = field(default_factory=list)  # when discovery was back


def life_at(seen: Seen, at: int) -> Life:
    return next(life for life in reversed(seen.lives) if life.start <= at)


def told_at(seen: Seen, version: int, life: Life, now: int) -> int:
    """When a change counts as told to a process, as seen at a time: a call that was made since counts."""
    made, terms = seen.history[version].at, seen.terms
    if version <= life.known:
        return life.start
    writes = [at for service in seen.services for at, upto in service.written if upto >= version]
    told = min([at for at in writes if life.start <= at < life.end], default=NEVER)
    silent = max((at for at in seen.silent if life.start <= at <= made), default=None)
    if silent is not None and not any(silent < at <= made for at in writes):  # and no watch since
        told = min(told, max(made, silent + SILENT_COUNTS))
    elif made < life.moved + MOVED_COUNTS and life.moved < NEVER:
        told = min(told, max(made, life.moved + MOVED_COUNTS))
    if terms.push:
        if any(at <= made < at + SILENT_COUNTS for at in seen.silent):  # one clock for silence
            return told
        has = min((at for at in seen.back if at >= made), default=made) if down_at(seen, made) else made
        moving = life.moved <= has < life.moved + MOVED_COUNTS
        return min(told, max(life.start, life.moved + MOVED_COUNTS if moving else has))
    calls = [call for service in seen.services for call in service.calls if life.start <= call[0] <= now]
    last, answered = max(calls, default=(life.start, True))
    held = last + terms.ask_within * (1 if answered else 4)
    back = max((at for at in seen.back if at >= made), default=0)
    return min(told, max(made + terms.ask_within, held, back + terms.ask_within))


def down_at(seen: Seen, at: int) -> bool:
    return any(at < back < at + 3 * SECOND for back in seen.back)


def drains(seen: Seen) -> list[str]:
    """Rule 3: nothing new later than the grace after being told."""
    broken = []
    for sent in seen.sent:
        life = life_at(seen, sent.at)
        lines = [
            (told_of.version, told_of.at, line["health"])
            for told_of in seen.history for line in told_of.lines if line["host"] == sent.host
        ]  # fmt: skip
        serving = [version for version, at, said in lines if said == "SERVING" and at <= sent.at]
        opened = max(serving, default=-1)
        closed = [version for version, _, health in lines if health != "SERVING" and version > opened]
        for version in closed[:1]:
            late = sent.at - told_at(seen, version, life, sent.at)
            if late > seen.terms.grace + SLACK:
                after = f"{late // MILLISECOND} ms after it was told to leave"
                broken.append(f"rule 3: {sent.trace} to {sent.host} {after}")
    return broken


def answers(seen: Seen) -> list[str]:
    """Rule 1: one final answer before the hard stop, nothing sent after it."""
    broken = []
    last = {sent.trace: sent.at for sent in seen.sent}
    for asked in seen.asked:
        if asked.excused:
            continue
        if len(asked.answers) != 1:
            broken.append(f"rule 1: {asked.trace} got {len(asked.answers)} answers")
            continue
        at, status = asked.answers[0]
        if at > asked.stop + SLACK:
            broken.append(f"rule 1: {asked.trace} was answered {(at - asked.stop) // MILLISECOND} ms late")
        if status not in (200, 502, 503):
            broken.append(f"rule 1: {asked.trace} was answered {status}")
        if last.get(asked.trace, 0) > at:
            broken.append(f"rule 1: {asked.trace} was sent on after its answer")
    return broken


def effects(seen: Seen) -> list[str]:
    """Rule 2: no effect twice. Offerings: look redoable, post labelled within its zone, once irreversible."""
    broken = []
    runs: dict[str, list[Sent]] = {}
    for sent in seen.sent:
        if sent.ran:
            runs.setdefault(sent.trace, []).append(sent)
    for asked in seen.asked:
        ran = runs.get(asked.trace, [])
        bounced = any(status == 503 for _, status in asked.answers)
        if asked.offering == "look" or not ran:
            continue
        if bounced:
            broken.append(f"rule 2: {asked.trace} was bounced and has run")
        if asked.offering == "once" and len(ran) > 1:
            broken.append(f"rule 2: {asked.trace} ran {len(ran)} times")
        if asked.offering == "post":
            if len({sent.zone for sent in ran}) > 1:
                broken.append(f"rule 2: {asked.trace} ran in several zones")
            if max(sent.at for sent in ran) - min(sent.at for sent in ran) > seen.terms.window + SLACK:
                broken.append(f"rule 2: {asked.trace} ran again after its window")
    return broken


def judge(seen: Seen) -> list[str]:
    return answers(seen) + effects(seen) + drains(seen)
