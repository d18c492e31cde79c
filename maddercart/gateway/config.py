"""The gateway's configuration file: TOML that is read into typed structs.

Durations are in seconds, rates per second and sizes in bytes. The reference page is generated from these
types: a field is described by the text in its annotation, a table by its docstring.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

Duration = Annotated[float, Meta(ge=0, le=1e6)]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e6)]
Earnings = Annotated[float, Meta(ge=0, le=1e9)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0, le=10_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=10_000_000)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class ConfigTable(Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all tables of the file."""


class Process(ConfigTable, frozen=True):
    name: Annotated[Name, "name of this process in log lines"] = "gateway"
    seed: Annotated[Count, "seed of random decisions; 0: a random seed at each start"] = 0
    descriptors: Annotated[
        PositiveCount,
        "file descriptors available for connections to clients and upstreams, including a reserve of 32",
    ] = 1024
    memory_mb: Annotated[
        PositiveNumber, "memory in MB, for the program and all that its connections hold"
    ] = 192.0


class Log(ConfigTable, frozen=True):
    form: Annotated[Literal["logfmt", "json"], "line format: key=value pairs or one JSON object per line"] = (
        "logfmt"
    )
    level: Annotated[Literal["DEBUG", "INFO", "WARNING", "ERROR"], "lowest level that is logged"] = "INFO"
    access: Annotated[
        Fraction, "fraction of queries that get an access log line; sampled by id, the same in each run"
    ] = 0.0


class RateLimit(ConfigTable, frozen=True):
    """A rate limit that applies to each key separately; queries over it are bounced at once."""

    rate: Annotated[Annotated[float, Meta(gt=0, le=1e9)], "queries per second for each key"]
    burst: Annotated[
        Annotated[float, Meta(ge=1, le=1e9)], "most queries that a key may send at once, after a pause"
    ] = 1.0
    key: Annotated[
        str, 'what is limited: "client" (the client\'s address), "route", or "header:NAME" (its value)'
    ] = "client"
    keys: Annotated[
        PositiveCount, "keys tracked individually; further keys share buckets and may be limited sooner"
    ] = 100_000


class AdaptiveLimit(ConfigTable, frozen=True):
    """A limit on concurrently held queries that adapts to the latency of answers."""

    least: Annotated[PositiveCount, "lower bound and initial value of the limit"] = 8
    most: Annotated[PositiveCount, "upper bound of the limit"] = 4096
    tolerance: Annotated[
        Annotated[float, Meta(gt=1, le=100)],
        "the limit is lowered when the median latency exceeds the unloaded one by this factor",
    ] = 2.0


class Listener(ConfigTable, frozen=True):
    name: Annotated[Name, "name by which routes refer to the listener"]
    address: Annotated[str, "host:port to listen on"]
    front: Annotated[Literal["http"], "protocol of the clients"] = "http"
    ready: Annotated[str, "path that answers 200 once queries can be served; empty: no such path"] = (
        "/-/ready"
    )
    connections: Annotated[
        Count,
        "maximum number of client connections; 0: an even share of half of the process's descriptors",
    ] = 0


class Target(ConfigTable, frozen=True):
    pool: Annotated[str, "name of the pool"]
    weight: Annotated[
        Annotated[float, Meta(gt=0, le=1e9)], "share of queries, relative to the route's other targets"
    ] = 1.0


class Route(ConfigTable, frozen=True):
    """Conditions on requests, of which the most specific match wins, and the terms of its queries."""

    name: Annotated[Name, "name of the route in log lines; limits keep their state by it across reloads"]
    to: Annotated[Annotated[list[Target], Meta(min_length=1)], "target pools, chosen at random by weight"]
    listeners: Annotated[list[str], "listeners that the route applies to; empty: all"] = field(
        default_factory=list
    )
    host: Annotated[str, "host name without port, or *.name for all subdomains; empty: any host"] = ""
    path: Annotated[str, "whole path; {x} matches one segment; empty if `prefix` is used"] = ""
    prefix: Annotated[str, "leading part of the path; whole segments are compared"] = ""
    methods: Annotated[list[str], "HTTP methods; empty: any"] = field(default_factory=list)
    headers: Annotated[
        dict[str, str], "headers that must be present exactly once with the given value; *: any value"
    ] = field(default_factory=dict)
    effect: Annotated[
        Literal["redoable", "labelled", "irreversible"],
        "redoable: may be repeated; labelled: only with its idempotency key; irreversible: never",
    ] = "irreversible"
    group: Annotated[
        Literal["everywhere", "zone", "cell"], "labelled: the upstreams among which repeats are deduplicated"
    ] = "cell"
    window: Annotated[
        Duration, "labelled: how long repeats are deduplicated, counted from the first dispatch"
    ] = 1.0
    agreed: Annotated[PositiveNumber, "latency target: an answer within it has its full earnings"] = 0.5
    stop: Annotated[PositiveNumber, "hard stop: the deadline of the final answer"] = 2.0
    earnings: Annotated[Earnings, "value of an answer within the agreed time, relative to other routes"] = 1.0
    late_earnings: Annotated[Earnings, "value of an answer after the agreed time"] = 0.0
    dispatches: Annotated[
        Annotated[int, Meta(ge=1, le=16)], "maximum number of dispatches of one query, including the first"
    ] = 3
    body: Annotated[Count, "maximum size of a request body"] = 65_536
    held: Annotated[Count, "maximum number of queries that are held without an answer; 0: no limit"] = 0
    fair: Annotated[
        Fraction, "fraction of `held` in use from which no client may hold more than its even share"
    ] = 0.5
    limits: Annotated[list[RateLimit], "rate limits"] = field(default_factory=list)


class Server(ConfigTable, frozen=True):
    name: Annotated[str, "name that stays when the address changes; empty: the address"] = ""
    address: Annotated[str, "IPv4:port of the server"] = ""
    zone: Annotated[str, "one of the pool's zones; empty: the first one"] = ""
    kind: Annotated[str, "one of the pool's machine kinds; empty: the first one"] = ""
    cell: Annotated[
        Count, "servers of a zone with the same cell number deduplicate repeats among themselves"
    ] = 0
    size: Annotated[Annotated[float, Meta(gt=0, le=1e6)], "capacity relative to other servers"] = 1.0
    state: Annotated[
        Literal["ready", "draining"], "a draining server gets no new queries; those it has are completed"
    ] = "ready"


class ColdStart(ConfigTable, frozen=True):
    """Limits how much a server that has just started gets from all processes together."""

    start: Annotated[
        Annotated[float, Meta(gt=0, le=1)], "capacity right after the start, as a fraction of a warm server's"
    ] = 0.2
    ramp: Annotated[Duration, "time until the server is warm; 0: warm at once"] = 10.0
    multiple: Annotated[
        Annotated[float, Meta(gt=0, le=100)],
        "most work in any `window`, as a multiple of what the server can do in it",
    ] = 3.0
    window: Annotated[PositiveNumber, "length of the sliding window for `multiple`"] = 1.0


class RetryBudget(ConfigTable, frozen=True):
    """A budget for dispatches after the first one, shared by all queries of a pool."""

    share: Annotated[Annotated[float, Meta(ge=0, le=10)], "further dispatches per first dispatch"] = 0.2
    burst: Annotated[
        Annotated[float, Meta(ge=0, le=1e6)], "maximum unused budget; also the budget at the start"
    ] = 10.0


class Pool(ConfigTable, frozen=True):
    """Upstreams that serve the same queries; each pool is balanced independently."""

    name: Annotated[Name, "name by which routes refer to the pool"]
    servers: Annotated[list[Server], "the pool's members, if they are listed in this file"] = field(
        default_factory=list
    )
    file: Annotated[
        str,
        "TOML file with [[servers]], checked for changes every second; relative to this file's directory",
    ] = ""
    discovery: Annotated[str, "host:port of a discovery service that speaks the platform's protocol"] = ""
    zone: Annotated[str, "zone of this process; empty: the first zone"] = ""
    zones: Annotated[list[str], "names of the zones; empty: a single zone with all servers"] = field(
        default_factory=list
    )
    kinds: Annotated[list[str], "names of the machine kinds; empty: a single kind"] = field(
        default_factory=list
    )
    number: Annotated[
        Count, "number of this process among those that use the pool, counted from 0; less than `sidecars`"
    ] = 0
    sidecars: Annotated[PositiveCount, "number of processes that use the pool"] = 1
    cancel: Annotated[bool, "whether a dispatch may be cancelled in favour of another"] = True
    come_back: Annotated[Duration, "maximum Retry-After of bounced queries; 0: none"] = 2.0
    come_back_whole: Annotated[
        bool, "whether Retry-After is rounded up to whole seconds, as plain HTTP/1.1 clients expect"
    ] = True
    connect_timeout: Annotated[PositiveNumber, "timeout for connecting to a server"] = 0.25
    idle: Annotated[PositiveNumber, "time after which servers close idle connections"] = 30.0
    probe: Annotated[
        str, "path that a healthy server answers with 200; empty: no probes, queries are used as canaries"
    ] = ""
    probe_host: Annotated[str, "Host header of a probe; empty: the server's name"] = ""
    answer: Annotated[Count, "maximum size of an answer's body; 0: a share of the process's memory"] = 0
    fresh_is_cold: Annotated[
        bool, "whether a server that is new in `file` or `servers` on a reload counts as just started"
    ] = True
    cold: Annotated[ColdStart, "limits for servers that have just started"] = ColdStart()
    retries: Annotated[
        RetryBudget | None, "retry budget; without it, only each route's `dispatches` limits"
    ] = None
    adaptive: Annotated[AdaptiveLimit | None, "adaptive limit on held queries; without it, no such limit"] = (
        None
    )


class GatewayConfig(ConfigTable, frozen=True):
    """The whole file."""

    process: Process = Process()
    log: Log = Log()
    listeners: Annotated[list[Listener], Meta(min_length=1)] = field(default_factory=list)
    pools: Annotated[list[Pool], Meta(min_length=1)] = field(default_factory=list)
    routes: Annotated[list[Route], Meta(min_length=1)] = field(default_factory=list)


class MembersFile(ConfigTable, frozen=True):
    """A file of pool members that is watched for changes."""

    servers: list[Server] = field(default_factory=list)


class ConfigFileError(ValueError):
    """A file that cannot be used.

    Each line of the message names the file, the key and the reason. `problems` are pairs of key and reason;
    the key is empty if the file as a whole is at fault.
    """

    def __init__(self, source: str, problems: list[tuple[str, str]]) -> None:
        self.source, self.problems = source, problems
        super().__init__(
            "\n".join(
                f"{source}: {key}: {reason}" if key else f"{source}: {reason}" for key, reason in problems
            )
        )


def read_toml(path: Path) -> dict[str, Any]:
    """Raises `ConfigFileError` for a file that cannot be read or is not valid TOML."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise ConfigFileError(str(path), [("", error.strerror or str(error))]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigFileError(str(path), [("", str(error))]) from error


def convert(tree: Any, to: Any, at: str = "") -> tuple[Any, list[tuple[str, str]]]:
    """Converts parsed TOML to type `to`; returns the value, or None and all problems as key and reason.

    `at` is the key of `tree` in the file. msgspec reports only the first problem, so on failure each table
    and field is converted separately to find the rest.
    """
    try:
        return msgspec.convert(tree, to), []
    except msgspec.ValidationError as error:
        first = str(error)
    problems = list(find_problems(tree, to, at))
    return None, problems or [(at, first)]


def find_problems(tree: Any, to: Any, at: str) -> list[tuple[str, str]]:
    info = msgspec.inspect.type_info(to)
    while isinstance(info, msgspec.inspect.Metadata):
        info = info.type
    if isinstance(info, msgspec.inspect.UnionType):
        structs = [member for member in info.types if isinstance(member, msgspec.inspect.StructType)]
        info = structs[0] if structs and tree is not None else info
    if isinstance(info, msgspec.inspect.StructType) and isinstance(tree, dict):
        known = {spec.encode_name: spec for spec in info.fields}
        problems = [(join_key(at, key), "is not a key of this table") for key in tree if key not in known]
        for spec in info.fields:
            key = join_key(at, spec.encode_name)
            if spec.encode_name in tree:
                problems += find_problems(tree[spec.encode_name], field_annotation(info.cls, spec.name), key)
            elif spec.required:
                problems.append((key, "is missing"))
        return problems
    if isinstance(info, msgspec.inspect.ListType) and isinstance(tree, list):
        inner = element_type(to)
        problems = [
            problem for n, item in enumerate(tree) for problem in find_problems(item, inner, f"{at}[{n}]")
        ]
        if problems:
            return problems
    try:
        msgspec.convert(tree, to)
    except msgspec.ValidationError as error:
        text, _, inside = str(error).partition(" - at `$")
        return [(at + inside.rstrip("`"), text[0].lower() + text[1:])]
    return []


def field_annotation(cls: type, name: str) -> Any:
    from typing import get_type_hints

    return get_type_hints(cls, include_extras=True)[name]


def element_type(to: Any) -> Any:
    """The element type of a list type, which may be `Annotated`."""
    from typing import get_args, get_origin

    while get_origin(to) is Annotated:
        to = get_args(to)[0]
    return get_args(to)[0]


def join_key(at: str, key: str) -> str:
    return f"{at}.{key}" if at else key
