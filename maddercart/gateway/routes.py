"""Route matching: finds the most specific route for a request.

The table is compiled once per configuration. A lookup walks the labels of the host and the segments of the
path, so its cost does not grow with the number of routes. No I/O.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import combinations
from typing import NamedTuple

from maddercart.gateway.config import Route

MAX_SEGMENTS = 64  # a path with more segments matches no route


class RouteLookup(NamedTuple):
    """The properties of a request that routes match on."""

    listener: str
    host: str
    path: str
    method: str
    headers: Mapping[str, Sequence[str]]  # values by lower-case name


class RouteMatch(NamedTuple):
    """The result of a lookup."""

    route_index: int | None  # in the configuration; None if no route matches
    methods: tuple[str, ...] = ()  # without a match: the methods that routes at this path would accept


@dataclass(frozen=True)
class RouteRule:
    """A route's conditions other than host and path."""

    route_index: int
    listeners: frozenset[str]  # empty: any
    methods: frozenset[str]  # empty: any
    headers: tuple[tuple[str, str], ...]  # lower-case name, value; "*": any value

    def specificity(self) -> tuple[bool, int, bool]:
        """Greater is more specific: has methods, then the number of headers, then has listeners."""
        return bool(self.methods), len(self.headers), bool(self.listeners)

    def matches(self, lookup: RouteLookup) -> bool:
        """Whether listener and headers match; the method is not compared."""
        return (not self.listeners or lookup.listener in self.listeners) and all(
            len(values := lookup.headers.get(name, ())) == 1 and value in ("*", values[0])
            for name, value in self.headers
        )

    def overlaps(self, other: "RouteRule") -> bool:
        """Whether some request could match both rules."""
        if self.methods and other.methods and not self.methods & other.methods:
            return False
        if self.listeners and other.listeners and not self.listeners & other.listeners:
            return False
        own, others = dict(self.headers), dict(other.headers)
        return all(
            "*" in (own[name], others[name]) or own[name] == others[name]
            for name in own.keys() & others.keys()
        )


@dataclass
class PathNode:
    """A node of the tree of path segments."""

    children: dict[str, "PathNode"] = field(default_factory=dict)  # by literal segment
    wildcard: "PathNode | None" = None  # the child for {}, which any non-empty segment matches
    exact_rules: list[RouteRule] = field(default_factory=list)  # of routes whose `path` ends here
    prefix_rules: list[RouteRule] = field(default_factory=list)  # of routes whose `prefix` ends here


class RouteTable:
    """Finds the most specific route.

    Candidates are compared by host (exact name, then the longest `*.name`, then any), path (whole paths with
    literal segments before {}, then the longest prefix), method, number of headers, and listener, in this
    order.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self.hosts: dict[str, PathNode] = {}  # path trees by host pattern: a name, "*.name", or "" for any
        for route_index, route in enumerate(routes):
            node = self.hosts.setdefault(route.host.lower(), PathNode())
            rule = RouteRule(
                route_index, frozenset(route.listeners),
                frozenset(method.upper() for method in route.methods),
                tuple(sorted((name.lower(), value) for name, value in route.headers.items())),
            )  # fmt: skip
            for segment in path_segments(route.path or route.prefix):
                if route.path and segment.startswith("{"):
                    node.wildcard = node.wildcard or PathNode()
                    node = node.wildcard
                else:
                    node = node.children.setdefault(segment, PathNode())
            rules = node.exact_rules if route.path else node.prefix_rules
            rules.append(rule)
            rules.sort(key=RouteRule.specificity, reverse=True)

    def find(self, lookup: RouteLookup) -> RouteMatch:
        segments = path_segments(lookup.path)
        if len(segments) > MAX_SEGMENTS:
            return RouteMatch(None)
        methods: set[str] = set()
        for pattern in host_patterns(lookup.host):
            if (root := self.hosts.get(pattern)) is None:
                continue
            for rules in matching_rules(root, segments):
                for rule in rules:
                    if not rule.matches(lookup):
                        continue
                    if rule.methods and lookup.method not in rule.methods:
                        methods |= rule.methods
                        continue
                    return RouteMatch(rule.route_index)
        return RouteMatch(None, tuple(sorted(methods)))

    def ambiguous_pairs(self) -> Iterable[tuple[int, int]]:
        """Indices of pairs of routes that match a common request and are equally specific."""
        nodes = list(self.hosts.values())
        while nodes:
            node = nodes.pop()
            nodes += [*node.children.values(), *([node.wildcard] if node.wildcard else [])]
            for rules in (node.exact_rules, node.prefix_rules):
                by_specificity: dict[tuple[bool, int, bool], list[RouteRule]] = {}
                for rule in rules:
                    by_specificity.setdefault(rule.specificity(), []).append(rule)
                for equals in by_specificity.values():
                    yield from (
                        (first.route_index, second.route_index)
                        for first, second in combinations(equals, 2)
                        if first.overlaps(second)
                    )


def path_segments(path: str) -> list[str]:
    """The segments of a path: `/a/b` has two, `/a/` has two (the last one empty), `/` has none."""
    return path.split("/")[1:] if path not in ("", "/") else []


def host_patterns(host: str) -> Iterable[str]:
    """The host patterns that match a host, the most specific first."""
    yield from [host] if host else []
    parent = host
    while "." in parent:
        parent = parent.partition(".")[2]
        yield f"*.{parent}"
    yield ""


def matching_rules(root: PathNode, segments: Sequence[str]) -> Iterable[list[RouteRule]]:
    """Lists of rules that match a path, the most specific first.

    Rules for the whole path come first (literal segments before {}, compared from the left), then prefixes
    from the longest on. The search proceeds level by level and visits each node once, however many
    combinations of literals and {} match.
    """
    prefixes: list[tuple[int, list[RouteRule]]] = []  # depth, rules
    level: list[PathNode] = [root]
    for depth in range(len(segments) + 1):
        prefixes += [(depth, node.prefix_rules) for node in level if node.prefix_rules]
        if depth == len(segments):
            break
        segment = segments[depth]
        level = [
            child for node in level
            for child in (node.children.get(segment), node.wildcard if segment else None)
            if child is not None
        ]  # fmt: skip
        if not level:
            break
    else:
        level = []
    if level and depth == len(segments):
        yield from (node.exact_rules for node in level if node.exact_rules)
    for _, rules in reversed(prefixes):
        yield rules
