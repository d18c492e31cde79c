"""Scenarios: a fleet, its traffic and its troubles, read from TOML into typed values and validated.

Durations and instants are seconds, or milliseconds in keys that end in `_ms`; instants count from the start
of the day. Rates are per second. Shares are fractions between 0 and 1.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Duration = Annotated[float, Meta(ge=0, le=1e6)]
Rate = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Weight = Annotated[float, Meta(ge=0, le=1e9)]
NonNegativeCount = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]

SCENARIOS_DIR = Path(__file__).parent / "scenarios"


class ScenarioError(ValueError):
    """A scenario or an experiment is invalid; the message names the file, the key and the reason."""


class ConfigTable(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables in a scenario or experiment file; an unknown key is an error."""


class Network(ConfigTable, frozen=True):
    within_ms: Duration = 0.3  # one way, inside a zone
    between_ms: Duration = 8.0  # one way, between two zones
    delays_ms: dict[str, Duration] = {}  # "a-b": overrides `between_ms` for a pair, both ways
    jitter: Share = 0.1  # standard deviation of a delay's logarithm
    loss: Share = 0.0  # of all messages; resent after `resend_ms`, doubled on each further loss
    resend_ms: Duration = 200.0


class Zone(ConfigTable, frozen=True):
    name: str
    servers: NonNegativeCount
    sidecars: NonNegativeCount
    share: Weight = 1.0  # weight of the zone in the traffic
    cells: PositiveCount = 1


class Kind(ConfigTable, frozen=True):
    name: str
    share: Weight = 1.0  # weight of the kind among the servers
    cores: PositiveCount = 4
    room: NonNegativeCount = 64  # queue length; further queries are rejected
    speed: Annotated[float, Meta(gt=0)] = 1.0
    size: Annotated[float, Meta(gt=0)] = 1.0  # capacity as announced in the list


class Servers(ConfigTable, frozen=True):
    connections: PositiveCount = 100_000  # open at once; further ones are refused
    connection_cost: Share = 0.0  # part of a core that each open connection takes
    idle: Duration = 30.0  # after this time an unused connection closes
    connect_timeout: Duration = 0.25
    refusal_ms: Duration = 1.0  # time that a server takes to reject a query
    crowd_from: Weight = 1e9  # queries per core beyond which the server slows down
    crowd_cost: Weight = 0.0  # part of the work added per query a core beyond that
    reports: bool = False  # answers and probes carry a load report
    report_age: Duration = 0.0  # a report is reused until it is this old
    report_noise: Share = 0.0  # standard deviation of its logarithm
    remembers: Duration = 10.0  # how long an idempotency key is kept
    drain: Duration = 3.0  # in a deploy, from the notice to the end of the process
    boot: Duration = 2.0  # from the end of a process to the start of the next
    grace: Duration = 1.0  # how long new dispatches are allowed after the notice of a drain


class ColdStart(ConfigTable, frozen=True):
    start: Annotated[float, Meta(gt=0, le=1)] = 0.2  # capacity of a new server, as a part of a warm one's
    ramp: Duration = 10.0  # until it is warm
    multiple: Annotated[float, Meta(gt=0)] = 3.0  # of its capacity in a window: the limit of rule 4
    window: Annotated[float, Meta(gt=0)] = 1.0
    at_start: Share = 0.0  # of the servers: cold when the day begins


class ServerList(ConfigTable, frozen=True):
    mode: Literal["push", "ask"] = "push"
    late: Duration = 0.5  # mean of an exponential delay, added to the network's
    lines_per_s: Annotated[float, Meta(gt=0)] = 1e7
    loads_every: Duration = 0.0  # period of updates of size / (1 + held queries per core); 0: none


class Sidecars(ConfigTable, frozen=True):
    unequal: Annotated[float, Meta(ge=0, le=5)] = 0.7  # standard deviation of the logarithm of their traffic
    dispatches: PositiveCount = 3
    cancel: bool = True
    probes: bool = False
    come_back: Duration = 2.0  # longest retry delay given to clients; 0: none is given
    streams: PositiveCount = 1  # concurrent queries per connection
    crossing: Share = 0.0  # cost of a dispatch to another zone, in earnings


class Clients(ConfigTable, frozen=True):
    retry: Literal["none", "at_once", "wait", "honour"] = "none"
    deaf: Share = 0.0  # of the clients with retry = "honour": they ignore the retry delay and use `wait`
    wait: Duration = 0.5
    tries: PositiveCount = 3
    patience: Duration = 5.0  # from the first try; after it the client gives up


class OfferingTerms(ConfigTable, frozen=True):
    name: str
    effect: Literal["redoable", "labelled", "irreversible"] = "redoable"
    group: Literal["everywhere", "zone", "cell"] = "everywhere"  # servers that drop each other's repeats
    window: Duration = 1.0
    agreed: Annotated[float, Meta(gt=0)] = 0.4
    stop: Annotated[float, Meta(gt=0)] = 1.0
    earnings: Weight = 1.0
    late_earnings: Weight = 0.0
    share: Weight = 1.0
    work_ms: Annotated[float, Meta(gt=0)] = 20.0  # mean, on a machine of speed 1
    shape: Literal["fixed", "exponential", "lognormal"] = "lognormal"
    spread: Annotated[float, Meta(ge=0, le=3)] = 0.5  # standard deviation of the logarithm, for lognormal


class Tenant(ConfigTable, frozen=True):
    name: str
    share: Weight = 1.0
    quota: Rate = 0.0  # queries per second over all sidecars; 0: no quota
    beyond: Share = 0.1  # part of its earnings that a query beyond the quota earns


class Flow(ConfigTable, frozen=True):
    """Queries at `rate` from `start` to `end` (0: end of the day); `kind` gives the shape over time."""

    rate: Rate
    kind: Literal["poisson", "bursty", "ramp", "wave", "flash"] = "poisson"
    start: Duration = 0.0
    end: Duration = 0.0
    to: Rate = 0.0  # ramp: the rate at the end; flash: its peak
    every: Annotated[float, Meta(gt=0)] = 10.0  # wave: period; bursty: mean length of a burst
    depth: Share = 0.5  # wave: amplitude, as a part of the rate; bursty: part of the time in bursts
    zone: str = ""  # only at the sidecars of this zone; empty: all


class Trouble(ConfigTable, frozen=True):
    """A fault from `start` to `end` (0: end of the day); `kind` decides which other keys apply."""

    kind: Literal[
        "slow", "errors", "crash", "silent", "zone_lost", "deploy", "crowding", "late_reports", "list_down",
        "list_stale", "sidecar_restart", "sidecar_pause", "tenant_burst", "network",
    ]  # fmt: skip
    start: Duration
    end: Duration = 0.0
    zone: str = ""  # empty: all zones
    share: Share = 1.0  # of the servers (or sidecars) in the zone
    # slow, crowding: multiplies the work; late_reports: age in seconds; network: multiplies delays;
    # tenant_burst: multiplies the traffic; errors: share of the queries.
    factor: Annotated[float, Meta(ge=0, le=1e6)] = 1.0
    tenant: str = ""
    batch: PositiveCount = 1  # deploy: servers of a zone that are replaced at a time
    cold: bool = True  # crash, zone_lost: whether the servers come back cold


class Scenario(ConfigTable, frozen=True):
    title: str
    about: str
    zones: list[Zone]
    offerings: list[OfferingTerms]
    flows: list[Flow]
    seconds: Annotated[float, Meta(gt=0, le=86_400)] = 60.0
    warmup: Duration = 3.0  # queries that arrive earlier are not counted
    kinds: list[Kind] = msgspec.field(default_factory=lambda: [Kind("machine")])
    network: Network = Network()
    servers: Servers = Servers()
    cold: ColdStart = ColdStart()
    listed: ServerList = msgspec.field(default=ServerList(), name="list")
    sidecars: Sidecars = Sidecars()
    clients: Clients = Clients()
    tenants: list[Tenant] = []
    troubles: list[Trouble] = []

    def zone_index(self, name: str) -> int:
        """The index of a zone. Raises ValueError for an unknown name."""
        return [zone.name for zone in self.zones].index(name)

    def end_seconds(self, of: Flow | Trouble) -> float:
        """The end of a flow or trouble, in seconds; 0 stands for the end of the day."""
        return of.end or self.seconds


def find_contradictions(scenario: Scenario) -> list[tuple[str, str]]:
    """Pairs of a key and why its value contradicts others; single values are checked on reading."""
    errors: list[tuple[str, str]] = []
    zones = [zone.name for zone in scenario.zones]
    if not any(zone.servers for zone in scenario.zones):
        errors.append(("zones", "no zone has servers"))
    if not any(zone.sidecars and zone.share for zone in scenario.zones):
        errors.append(("zones", "no zone has both sidecars and a share"))
    for key in ("zones", "kinds", "offerings", "tenants"):
        names = [item.name for item in getattr(scenario, key)]
        if len(set(names)) < len(names):
            errors.append((key, "duplicate name"))
        if names and key != "zones" and not sum(item.share for item in getattr(scenario, key)):
            errors.append((key, "the shares add up to 0"))
    if not scenario.offerings:
        errors.append(("offerings", "at least one is required"))
    for n, terms in enumerate(scenario.offerings):
        if terms.stop < terms.agreed:
            errors.append(
                (f"offerings[{n}].stop", f"{terms.stop:g} s is before the agreed time, {terms.agreed:g} s")
            )
    for pair in scenario.network.delays_ms:
        if len(zone_pair := pair.split("-")) != 2 or not set(zone_pair) <= set(zones):
            errors.append((f"network.delays_ms.{pair}", "is not a pair of zone names"))
    if scenario.warmup >= scenario.seconds:
        errors.append(
            ("warmup", f"{scenario.warmup:g} s is not shorter than the day of {scenario.seconds:g} s")
        )
    if not sum(max(flow.rate, flow.to) for flow in scenario.flows):
        errors.append(("flows", "there is no traffic"))
    flows: list[tuple[str, Flow | Trouble]] = [(f"flows[{n}]", flow) for n, flow in enumerate(scenario.flows)]
    for path, entry in [
        *flows,
        *((f"troubles[{n}]", item) for n, item in enumerate(scenario.troubles)),
    ]:
        end = scenario.end_seconds(entry)
        if entry.zone and entry.zone not in zones:
            errors.append((f"{path}.zone", f"there is no zone {entry.zone!r}, only {', '.join(zones)}"))
        if entry.start >= end:
            errors.append((f"{path}.start", f"{entry.start:g} s is not before its end, {end:g} s"))
        if end > scenario.seconds:
            errors.append((f"{path}.end", f"{end:g} s is after the day's end, {scenario.seconds:g} s"))
    for n, trouble in enumerate(scenario.troubles):
        path = f"troubles[{n}]"
        if trouble.kind == "tenant_burst" and trouble.tenant not in [
            tenant.name for tenant in scenario.tenants
        ]:
            errors.append((f"{path}.tenant", f"there is no tenant {trouble.tenant!r}"))
        if trouble.kind == "late_reports" and not scenario.servers.reports:
            errors.append((f"{path}.kind", "servers.reports is off, so there are no reports to delay"))
        if trouble.kind == "errors" and not trouble.factor <= 1:
            errors.append((f"{path}.factor", f"{trouble.factor:g} is not a share of the queries (0 to 1)"))
        if trouble.kind == "zone_lost" and not trouble.zone:
            errors.append((f"{path}.zone", "must name the lost zone"))
    return errors


def parse_scenario(tree: dict[str, Any], source: str) -> Scenario:
    """Validates a TOML tree. Raises ScenarioError with `source`, the key and the reason."""
    try:
        scenario = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{source}: {error}".replace("`$.", "`")) from error
    if errors := find_contradictions(scenario):
        raise ScenarioError("\n".join(f"{source}: {key}: {reason}" for key, reason in errors))
    return scenario


def read_tree(name: str, directory: Path | None = None, depth: int = 0) -> tuple[dict[str, Any], str]:
    """Reads the TOML of a scenario, given by its path or the name of a shipped one; returns it with its path.

    A path may be relative to `directory`. If the file has the key `like`, it is merged into that scenario:
    tables are merged, other values replaced. Raises ScenarioError if a file is missing or invalid, or if
    `like` is nested more than 8 deep, as in a cycle.
    """
    candidates = [Path(name), *([directory / name] if directory else []), SCENARIOS_DIR / f"{name}.toml"]
    path = next((candidate for candidate in candidates if candidate.is_file()), None)
    if path is None:
        raise ScenarioError(f"{name}: no such file or shipped scenario ({', '.join(shipped())})")
    try:
        tree = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    base_name = tree.pop("like", None)
    if base_name is None:
        return tree, str(path)
    if not isinstance(base_name, str) or depth > 8:
        raise ScenarioError(
            f"{path}: like: {base_name!r} is not the name of a scenario, or refers back to this file"
        )
    return merge_tables(read_tree(base_name, path.parent, depth + 1)[0], tree), str(path)


def merge_tables(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in override.items():
        are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge_tables(merged[key], value) if are_tables else value
    return merged


def read(name: str) -> Scenario:
    return parse_scenario(*read_tree(name))


def shipped() -> list[str]:
    return sorted(path.stem for path in SCENARIOS_DIR.glob("*.toml"))
