"""Unit tests of targets, routes, limits and the configuration file; some compare with a simple model."""

import json
import time
import tracemalloc
from collections import Counter, deque
from pathlib import Path
from random import Random
from typing import Any

import pytest
from typer.testing import CliRunner

from maddercart.cli import app
from maddercart.gateway.check import read_gateway
from maddercart.gateway.config import ConfigFileError, Log, Pool, RateLimit, Route, Server, Target
from maddercart.gateway.front import Routing
from maddercart.gateway.limits import (
    KEY_BYTES,
    AdaptiveLimiter,
    ConcurrencyLimiter,
    RateLimiter,
    RetryLimiter,
)
from maddercart.gateway.members import MemberList
from maddercart.gateway.reference import render_page
from maddercart.gateway.routes import RouteLookup, RouteRule, RouteTable, path_segments
from maddercart.gateway.targets import BadTarget, parse_target
from maddercart.interface import MILLISECOND, SECOND
from maddercart.sidecar.logs import JsonFormatter
from maddercart.sidecar.memory import UNLIMITED_BYTES, MemoryLedger, MemoryUse

# -- request targets


@pytest.mark.parametrize(
    ("target", "host", "expected"),
    [
        (b"/a/b?x=/../y", b"Shop.Ex:8080", ("shop.ex", "/a/b", "/a/b?x=/../y", "Shop.Ex:8080")),
        (b"/%61/b%2fc/%7e", b"h", ("h", "/a/b%2Fc/~", "/a/b%2Fc/~", "h")),
        (b"http://Other.example:81/p?q", b"h", ("other.example", "/p", "/p?q", "Other.example:81")),
        (b"HTTP://h", b"x", ("h", "/", "/", "h")),
        (b"http://h?q", b"x", ("h", "/", "/?q", "h")),
        (b"//a//b", b"h.", ("h", "//a//b", "//a//b", "h.")),
        (b"/", None, ("", "/", "/", "")),
        (b"/a", b"[::1]:80", ("[::1]", "/a", "/a", "[::1]:80")),
    ],
)  # fmt: skip
def test_target_is_normalized_alike_for_route_lookup_and_upstream(
    target: bytes, host: bytes | None, expected: tuple
) -> None:
    assert tuple(parse_target(target, host)) == expected
    reparsed = parse_target(expected[2].encode(), host)
    assert reparsed.path == expected[1], "normalization is idempotent"


@pytest.mark.parametrize(
    "target",
    [
        b"/a/../b", b"/a/%2e%2E/b", b"/.", b"/a/.", b"*", b"a/b", b"/a%", b"/a%zz", b"/a%00", b"/a%0d%0aX",
        b"/a b", b"/a\\b", b"/\xc3\xa9", b"http://user@h/a", b"http:///a", b"/a#b", b"ftp://h/a", b'/"',
    ],
)  # fmt: skip
def test_invalid_or_ambiguous_target_is_rejected(target: bytes) -> None:
    """Guards against `/public/%2e%2e/admin`: routed by one interpretation and answered by another."""
    with pytest.raises(BadTarget):
        parse_target(target, b"h")


@pytest.mark.parametrize("host", [b"a b", b"h:x", b"h:123456", b"h/a", b"\xff", b"u@h"])
def test_invalid_host_is_rejected(host: bytes) -> None:
    with pytest.raises(BadTarget):
        parse_target(b"/", host)


# -- routes


def route(name: str = "r", **more: Any) -> Route:
    return Route(name, more.pop("to", [Target("p")]), **more)


def lookup(
    path: str, host: str = "h", method: str = "GET", listener: str = "l", **headers: str
) -> RouteLookup:
    """Header names are given with `_` in place of `-`."""
    return RouteLookup(
        listener, host, path, method, {name.replace("_", "-"): [value] for name, value in headers.items()}
    )


def find_by_scan(routes: list[Route], request: RouteLookup) -> int | None:
    """A model of `RouteTable.find`: compares all routes and returns the most specific match."""
    candidates: list[tuple] = []  # rank of host, of path and of other conditions, index
    for route_index, candidate in enumerate(routes):
        pattern, host = candidate.host.lower(), request.host
        if pattern.startswith("*."):
            matches, host_rank = host.endswith(pattern[1:]), (1, pattern.count("."))
        else:
            matches, host_rank = not pattern or pattern == host, (2, 0) if pattern else (0, 0)
        segments, own = path_segments(request.path), path_segments(candidate.path or candidate.prefix)
        if candidate.path:
            matches = matches and len(segments) == len(own) and all(
                (expected.startswith("{") and segment) or expected == segment
                for expected, segment in zip(own, segments, strict=True))  # fmt: skip
            path_rank: tuple = (1, tuple(not expected.startswith("{") for expected in own))
        else:
            matches, path_rank = matches and segments[: len(own)] == own, (0, len(own))
        rule = RouteRule(
            route_index, frozenset(candidate.listeners), frozenset(candidate.methods),
            tuple((name.lower(), value) for name, value in candidate.headers.items()),
        )  # fmt: skip
        if (
            matches
            and rule.matches(request)
            and (not candidate.methods or request.method in candidate.methods)
        ):
            candidates.append((host_rank, path_rank, rule.specificity(), route_index))
    return max(candidates)[-1] if candidates else None


@pytest.mark.parametrize("seed", range(40))
def test_table_finds_the_same_route_as_a_scan_of_all_routes(seed: int) -> None:
    generator = Random(seed)
    words = ["a", "b", "{x}", "c"]
    routes: list[Route] = []
    for n in range(generator.randrange(2, 25)):
        segments = [generator.choice(words) for _ in range(generator.randrange(4))]
        segments = [f"{{v{k}}}" if segment.startswith("{") else segment for k, segment in enumerate(segments)]
        path_condition = {"path": "/" + "/".join(segments)} if generator.random() < 0.6 else {
            "prefix": "/" + "/".join("a" if segment.startswith("{") else segment for segment in segments)
        }  # fmt: skip
        routes.append(route(
            f"r{n}", host=generator.choice(["", "h.x.y", "*.x.y", "*.y"]), **path_condition,
            methods=generator.choice([[], ["GET"], ["POST", "GET"]]),
            listeners=generator.choice([[], [], ["l"], ["k"]]),
            headers=generator.choice([{}, {}, {"X-A": "1"}, {"x-a": "*", "x-b": "2"}]),
        ))  # fmt: skip
    table = RouteTable(routes)
    ambiguous = {route_index for pair in table.ambiguous_pairs() for route_index in pair}
    for _ in range(400):
        request = lookup(
            "/" + "/".join(generator.choice(["a", "b", "c", "d", ""]) for _ in range(generator.randrange(5))),
            generator.choice(["h.x.y", "g.x.y", "z.y", "", "x.y"]),
            generator.choice(["GET", "POST", "PUT"]), generator.choice(["l", "k", "m"]),
            **generator.choice([{}, {"x_a": "1"}, {"x_a": "2", "x_b": "2"}]),
        )  # fmt: skip
        found, expected = table.find(request).route_index, find_by_scan(routes, request)
        assert found == expected or {found, expected} <= ambiguous, (request, found, expected, routes)


def test_ambiguous_pairs_are_equally_specific_routes_that_overlap() -> None:
    same = [route("a", path="/x"), route("b", path="/x")]
    assert list(RouteTable(same).ambiguous_pairs()) == [(0, 1)]
    for other in ({"methods": ["GET"]}, {"headers": {"q": "1"}}, {"host": "h"}, {"listeners": ["l"]}):
        assert not list(RouteTable([same[0], route("b", path="/x", **other)]).ambiguous_pairs()), (
            "one is more specific"
        )
    disjoint = [route("a", path="/x", methods=["GET"]), route("b", path="/x", methods=["PUT"])]
    assert not list(RouteTable(disjoint).ambiguous_pairs()), "no request matches both"
    disjoint = [route("a", path="/x", headers={"q": "1"}), route("b", path="/x", headers={"Q": "2"})]
    assert not list(RouteTable(disjoint).ambiguous_pairs())


def test_lookup_cost_does_not_grow_with_the_number_of_routes() -> None:
    def cost(count: int) -> float:
        table = RouteTable(
            [route(f"r{n}", path=f"/t{n}/{{id}}/x", host=f"h{n % 100}.example") for n in range(count)]
        )
        lookups = [lookup(f"/t{n}/7/x", f"h{n % 100}.example") for n in range(0, count, max(1, count // 50))]
        best = 1e9
        for _ in range(20):
            began = time.perf_counter()
            for request in lookups:
                assert table.find(request).route_index is not None
            best = min(best, (time.perf_counter() - began) / len(lookups))
        return best

    assert cost(10_000) < 4 * cost(10), "a linear scan would cost 1000 times as much"


def test_weighted_targets_get_their_shares_despite_reloads() -> None:
    """A share of 1 in 100 gets 100 of 10,000 queries, within three standard deviations."""
    routes = [route("r", to=[Target("big", 99.0), Target("small", 1.0)])]
    pools: dict[str, Any] = {"big": "big", "small": "small"}
    for reloads in (0, 50):
        routing = Routing(lambda: 0, 7, MemoryLedger(UNLIMITED_BYTES))
        drawn: Counter[str] = Counter()
        for n in range(10_000):
            if n % (10_000 // (reloads + 1)) == 0:
                routing.reconfigure(routes, pools, Log())
            drawn[str(routing.pick_pool(0))] += 1
        assert 70 <= drawn["small"] <= 130, drawn


# -- limits


@pytest.mark.parametrize("seed", range(10))
def test_rate_limiter_agrees_with_a_simple_token_bucket(seed: int) -> None:
    generator = Random(seed)
    rate, burst = generator.uniform(1, 50), generator.randrange(1, 20)
    limiter, tokens, last = RateLimiter(rate, burst, 1000), {}, {}
    now, mismatches = 0, 0
    for _ in range(3000):
        now += int(generator.expovariate(200) * SECOND)
        key = f"k{generator.randrange(8)}"
        available = min(burst, tokens.get(key, burst) + (now - last.get(key, now)) * rate / SECOND)
        admitted = limiter.admit(now, key) == 0
        mismatches += admitted != (available >= 1) and abs(available - 1) > 1e-3
        tokens[key], last[key] = available - admitted, now
    assert mismatches == 0


def test_rate_limiter_admits_after_the_delay_that_it_returned() -> None:
    limiter = RateLimiter(2.0, 3, 10)
    assert [limiter.admit(0, "k") for _ in range(3)] == [0, 0, 0]
    delay = limiter.admit(0, "k")
    assert 0 < delay <= SECOND // 2 and limiter.admit(delay - MILLISECOND, "k") > 0 == limiter.admit(
        delay, "k"
    )


def test_rate_limiter_memory_is_bounded_for_a_million_keys_and_old_keys_expire() -> None:
    """Guards against unbounded memory: keys of a client that sends a new one each time were never removed."""
    tracemalloc.start()
    limiter = RateLimiter(1.0, 5, 50_000)
    for n in range(1_000_000):
        limiter.admit(n * 10_000, f"key-{n}")  # 100,000 queries per second
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(limiter.full_at) <= 50_000 and held < 24 << 20, held
    for n in range(60_000):
        limiter.admit(2000 * SECOND + n, "one")
    assert len(limiter.full_at) == 1, "all other buckets are full, so their keys need no entry"


def test_names_that_a_client_makes_long_are_not_kept() -> None:
    """A client under ever new names of 8 KB had 100,000 of them kept: 800 MB."""
    limiter = RateLimiter(1.0, 5, 50_000)
    tracemalloc.start()
    for number in range(2_000):
        limiter.admit(number, f"{number:08192}")
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(limiter.full_at) == 2_000 and held < 2_000 * KEY_BYTES


def test_rate_limits_share_what_memory_has_for_their_keys() -> None:
    ledger = MemoryLedger(1 << 20)
    routing = Routing(lambda: 0, 7, ledger)
    limits = [RateLimit(1.0, key="header:x"), RateLimit(2.0, key="client")]
    routing.reconfigure([Route("r", [Target("p")], limits=limits)], {}, Log())
    for limiter in routing.routes[0].rate_limiters:
        for number in range(1_000):
            limiter.admit(0, str(number))
    routing.hold_keys()
    assert 0 < ledger.held[MemoryUse.KEYS] <= 0.1 * ledger.limit_bytes


def test_key_beyond_the_tracked_ones_is_limited_and_rarely_because_of_others() -> None:
    limiter = RateLimiter(1.0, 2, 10)
    for n in range(10):
        limiter.admit(0, f"known-{n}")
    assert [limiter.admit(1, "late") > 0 for _ in range(4)] == [False, False, True, True]
    others = sum(limiter.admit(1, f"other-{n}") > 0 for n in range(300))
    assert others <= 3


def test_concurrency_limiter_keeps_an_even_share_for_other_clients() -> None:
    limiter = ConcurrencyLimiter(100, 0.5)
    greedy = sum(limiter.admit("greedy") for _ in range(1000))
    assert greedy == 100, "a client alone may use the whole limit"
    for _ in range(greedy):
        limiter.release("greedy")
    assert limiter.held_by_client == {} and limiter.held == 0
    others = [f"c{n}" for n in range(9)]
    assert all(limiter.admit(client) for client in others for _ in range(5))
    greedy = sum(limiter.admit("greedy") for _ in range(1000))
    assert greedy <= 10 and all(limiter.admit(client) for client in others), "ten clients share evenly"
    assert ConcurrencyLimiter(0, 0.5).admit("x"), "0 means no limit"


@pytest.mark.parametrize("seed", range(20))
def test_retry_budget_is_never_exceeded(seed: int) -> None:
    """Retries stay within their share of first dispatches plus the burst, in whatever order queries end."""
    generator, share, burst = Random(seed), 0.2, 10.0
    limiter, first, retries = RetryLimiter(share, burst), 0, 0
    held: deque[tuple[int, int]] = deque()  # retries granted, retries used
    for _ in range(5000):
        if held and generator.random() < 0.5:
            granted, used = held.popleft()
            limiter.refund(granted - used)
        else:
            first += 1
            granted = limiter.grant(2)
            used = generator.choice([0, granted, granted])
            retries += used
            held.append((granted, used))
        assert retries <= share * first + burst


def test_adaptive_limit_falls_with_rising_latency_and_grows_only_while_in_use() -> None:
    limiter, now = AdaptiveLimiter(4, 1000, 2.0), 0

    def record_answers(count: int, latency: int) -> None:
        nonlocal now
        for _ in range(count):
            now += MILLISECOND
            limiter.admit(int(limiter.limit) - 1)
            limiter.record_answer(now, latency)

    record_answers(64 * 12, 20 * MILLISECOND)
    high = limiter.limit
    assert high > 30
    record_answers(64 * 8, 90 * MILLISECOND)
    assert limiter.limit < high / 2
    low = limiter.limit
    record_answers(64 * 6, 20 * MILLISECOND)
    assert limiter.limit > low
    idle = AdaptiveLimiter(4, 1000, 2.0)
    for n in range(64 * 20):
        idle.admit(0)
        idle.record_answer(n * MILLISECOND, 20 * MILLISECOND)
    assert idle.limit < 8, "an unused limit does not grow: it would be too high once load comes"


# -- configuration file

GOOD = Path("deploy/gateway.toml").read_text()


def problems_of(text: str, folder: Path) -> list[tuple[str, str]]:
    """The problems, as key and reason, of an unusable configuration."""
    (folder / "g.toml").write_text(text)
    with pytest.raises(ConfigFileError) as caught:
        read_gateway(folder / "g.toml")
    assert all(line.startswith(str(folder / "g.toml")) for line in str(caught.value).splitlines())
    return caught.value.problems


@pytest.mark.parametrize(
    ("old", "new", "key", "words"),
    [
        ('name = "front"', 'name = "front"\ncolour = 1', "listeners[0].colour", "is not a key"),
        ('"127.0.0.1:8080"', '"localhost:8080"', "listeners[0].address", "not an IPv4 address"),
        ('"127.0.0.1:9002"', "9002", "pools[0].servers[1].address", "expected `str`"),
        ('name = "a-2"', 'name = "a-1"', "pools[0].servers[1]",
         "'a-1' is already the name of pools[0].servers[0]"),
        ('zones = ["a", "b"]', 'zones = ["a"]', "pools[0].servers[2].zone", "not one of the pool's zones"),
        ("sidecars = 1", "sidecars = 0", "pools[0].sidecars", ">= 1"),
        ("sidecars = 1", "number = 3", "pools[0].number", "are counted from 0"),
        ("share = 0.2", "share = -1", "pools[0].retries.share", ">= 0"),
        ('prefix = "/accounts"', 'prefix = "/accounts/"', "routes[0].prefix", "ends with /"),
        ('prefix = "/accounts"', 'prefix = "/a/../b"', "routes[0].prefix", "dot segment"),
        ('prefix = "/accounts"', 'prefix = "/%61"', "routes[0].prefix", "must be written '/a'"),
        ('prefix = "/accounts"', 'prefix = "/{x}"', "routes[0].prefix", "allowed in `path` only"),
        ('"/accounts/{id}/repayments"', '"/a/{id}/{id}"', "routes[1].path",
         "uses one {} name more than once"),
        ('"/accounts/{id}/repayments"', '"/a/x{id}"', "routes[1].path", "not a whole segment"),
        ('"accounts" }]\nlimits', '"none" }]\nlimits', "routes[1].to[0].pool", "'none'"),
        ("agreed = 0.3", "agreed = 3.0", "routes[0].stop", "is less than the agreed time"),
        ('key = "client"', 'key = "cookie"', "routes[1].limits[0].key", "none of client"),
        ('effect = "redoable"', 'effect = "safe"', "routes[0].effect", "safe"),
        ('name = "post"', 'name = "view"', "routes[1].name", "is a duplicate name"),
        ("[log]", "[logs]", "logs", "is not a key"),
    ],
)  # fmt: skip
def test_problem_is_reported_with_its_key(old: str, new: str, key: str, words: str, tmp_path: Path) -> None:
    assert old in GOOD
    found = problems_of(GOOD.replace(old, new, 1), tmp_path)
    assert any(at == key and words in reason for at, reason in found), found


def test_all_problems_are_reported_at_once_and_ambiguous_routes_too(tmp_path: Path) -> None:
    text = GOOD.replace('name = "front"', 'name = "front"\nx = 1').replace("share = 0.2", "share = -1")
    text = text.replace('effect = "redoable"', 'effect = "safe"')
    assert [key for key, _ in problems_of(text, tmp_path)] == [
        "listeners[0].x", "pools[0].retries.share", "routes[0].effect"]  # fmt: skip
    ambiguous = (
        GOOD
        + '\n[[routes]]\nname = "again"\nprefix = "/accounts"\n'
        + 'methods = ["GET"]\nto = [{ pool = "accounts" }]\n'
    )
    ((key, reason),) = problems_of(ambiguous, tmp_path)
    assert key == "routes[2]" and "'again' and 'view'" in reason
    ((key, reason),) = problems_of("[process", tmp_path)
    assert key == "" and "Expected" in reason
    two_sources = GOOD.replace("sidecars = 1", 'file = "m.toml"')
    assert any(
        "one of servers, file and discovery" in reason for _, reason in problems_of(two_sources, tmp_path)
    )
    with pytest.raises(ConfigFileError, match="No such file"):
        read_gateway(tmp_path / "none.toml")


def test_reference_page_is_up_to_date() -> None:
    assert Path("docs/gateway/reference.md").read_text() == render_page(), (
        "run: maddercart config reference > docs/gateway/reference.md"
    )


def test_commands_print_results_and_set_exit_codes() -> None:
    def run(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, [*arguments])
        return result.exit_code, result.output

    file = "deploy/gateway.toml"
    assert run("gateway", "check", file) == (0, f"{file}: 1 listeners, 2 routes, 1 pools\n")
    assert json.loads(run("gateway", "check", file, "--json")[1])["usable"] is True
    code, output = run("gateway", "check", "none.toml", "--json")
    assert code == 2 and json.loads(output)["wrong"][0]["file"] == "none.toml"
    code, output = run("routes", "explain", "POST", "http://h/accounts/7/repayments", "--file", file,
                       "--json", "--header", "Idempotency-Key: 1")  # fmt: skip
    assert (
        code == 0
        and json.loads(output)["route"] == "post"
        and json.loads(output)["pools"] == {"accounts": 1.0}
    )
    code, output = run("routes", "explain", "PUT", "/accounts/7", "--file", file)
    assert code == 1 and "405" in output and "GET" in output
    code, output = run("routes", "explain", "GET", "/a/../b", "--file", file)
    assert code == 1 and "400" in output
    code, output = run("config", "show", "--file", file)
    assert code == 0 and "pools[0].cold.ramp = 10.0" in output and 'routes[1].group = "zone"' in output
    assert json.loads(run("config", "show", "--file", file, "--json")[1])["process"]["descriptors"] == 1024


def test_json_log_lines_have_the_fields_of_the_record() -> None:
    import logging

    record = logging.LogRecord("of", logging.INFO, "", 0, "took %d", (3,), None)
    record.pool, record.odd = "p", {1, 2}.__class__
    fields = json.loads(JsonFormatter().format(record))
    assert (fields["msg"], fields["pool"], fields["level"], fields["of"]) == ("took 3", "p", "INFO", "of")


def test_a_server_at_another_address_is_another_process() -> None:
    """It was taken for the former one of its name, and got a warm server's share of the queries."""
    pool, now = Pool("p", fresh_is_cold=True), [0]
    members = MemberList(lambda: now[0])
    members.listing([Server("a", "127.0.0.1:1"), Server("b", "127.0.0.1:2")], pool)
    now[0] = SECOND
    listing = members.listing([Server("a", "127.0.0.1:3"), Server("b", "127.0.0.1:2")], pool)
    assert [line["born_ms"] for line in listing.hosts] == [1000.0, 0.0]
