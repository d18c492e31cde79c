"""The HTTP request handler: matches a request to a route, enforces the route's limits and hands a query to a
pool."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import accumulate
from random import Random

from maddercart.gateway.config import Log, Route
from maddercart.gateway.limits import KEY_BYTES, ConcurrencyLimiter, RateLimiter
from maddercart.gateway.pools import ActivePool, seconds_to_ns
from maddercart.gateway.routes import RouteLookup, RouteMatch, RouteTable
from maddercart.gateway.targets import BadTarget, RequestTarget, parse_target
from maddercart.http.server import Request
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.headers import Headers, forwarded_headers
from maddercart.messages.query import Query, query_identity
from maddercart.messages.responses import ClientResponse
from maddercart.sidecar.memory import MemoryAccount, MemoryLedger, MemoryUse
from maddercart.sidecar.request_handlers import AcceptedQuery, RejectedRequest

log = logging.getLogger(__name__)

REQUEST_ID_HEADER, FORWARDED_FOR_HEADER = b"x-request-id", b"x-forwarded-for"
REPLACED_HEADERS = frozenset({b"host", FORWARDED_FOR_HEADER})  # rewritten for the upstream, not copied
MAX_REQUEST_ID_BYTES = 128
KEY_MEMORY_SHARE = 0.1  # of the memory ledger, for the keys of all rate limits
IRREVERSIBLE_EFFECT = "irreversible"  # of a route: its requests must not run twice
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})  # RFC 9110, section 9.2.1


@dataclass(slots=True)
class GatewayQuery(Query):
    """A query that the gateway accepted; returns what it took from limits when it ends."""

    # Called once with the query, its number of dispatches and its ending.
    on_end: Callable[["GatewayQuery", int, str], None] | None = None
    route: str = ""
    pool: str = ""
    client: str = ""  # the client's IP address
    granted_retries: int = 0  # dispatches after the first one, taken from the pool's retry budget
    accepted_at: int = 0

    def headers_for(self, timeout: int) -> Headers:
        """The headers of a dispatch, without X-Expires-In: a generic upstream does not read the deadline."""
        lengths = [(b"Content-Length", b"%d" % len(self.body))] if self.body or self.method != b"GET" else []
        return [*self.headers, *lengths]

    def on_finished(self, dispatches: int, ending: str) -> None:
        if self.on_end is not None:
            self.on_end(self, dispatches, ending)
            self.on_end = None


@dataclass
class RouteState:
    """Limiters of a route; kept across reloads for a route of the same name."""

    route: Route
    concurrency_limiter: ConcurrencyLimiter = field(default_factory=lambda: ConcurrencyLimiter(0, 1.0))
    rate_limiters: list[RateLimiter] = field(default_factory=list)  # in the order of `route.limits`

    def reconfigure(self, route: Route, max_keys: int) -> None:
        """`max_keys`: how many keys memory has room for in each rate limit."""
        self.route = route
        self.concurrency_limiter.max_held, self.concurrency_limiter.fair_from = route.held, route.fair
        previous, self.rate_limiters = self.rate_limiters, []
        for n, limit in enumerate(route.limits):
            keys = min(limit.keys, max_keys)
            if n < len(previous):
                previous[n].configure(limit.rate, limit.burst, keys)
            self.rate_limiters.append(
                previous[n] if n < len(previous) else RateLimiter(limit.rate, limit.burst, keys)
            )


class Routing:
    """The current routes and their limiters, shared by all listeners."""

    def __init__(self, clock: Callable[[], int], seed: int, ledger: MemoryLedger) -> None:
        self.clock, self.ledger = clock, ledger
        self.account = MemoryAccount(ledger)
        generator = Random(seed)
        self.random, self.random_bits = generator.random, generator.getrandbits
        self.counts: Counter[str] = Counter()
        self.routes: list[RouteState] = []  # in file order
        self.states_by_name: dict[str, RouteState] = {}
        self.pools: dict[str, ActivePool] = {}
        self.table = RouteTable([])
        self.log_config = Log()
        self.held_identities: set[int] = set()  # of held queries that must not run twice

    def reconfigure(self, routes: Sequence[Route], pools: dict[str, ActivePool], log_config: Log) -> None:
        """Switches to new routes within one turn of the loop; held queries keep the terms they came under."""
        states = {route.name: self.states_by_name.get(route.name) or RouteState(route) for route in routes}
        for route in routes:
            states[route.name].reconfigure(route, self.max_keys(routes))
        self.states_by_name, self.pools, self.log_config = states, pools, log_config
        self.routes = [states[route.name] for route in routes]
        self.table = RouteTable(routes)
        # Lower-case names of the headers that route conditions or rate limits read.
        self.relevant_headers = {name.encode() for route in routes for name in map(str.lower, route.headers)}
        self.relevant_headers |= {key.encode() for route in routes for limit in route.limits
                                  if (key := limit.key.partition("header:")[2].lower())}  # fmt: skip
        self.cumulative_weights = [list(accumulate(target.weight for target in route.to)) for route in routes]

    def max_keys(self, routes: Sequence[Route]) -> int:
        """How many keys memory has room for in each rate limit."""
        limits = sum(len(route.limits) for route in routes)
        return max(1, int(KEY_MEMORY_SHARE * self.ledger.limit_bytes / KEY_BYTES / max(1, limits)))

    def hold_keys(self) -> None:
        """Accounts for the keys of all rate limits."""
        keys = sum(len(limiter.full_at) for state in self.routes for limiter in state.rate_limiters)
        self.account.hold(MemoryUse.KEYS, keys * KEY_BYTES)

    def find(
        self, listener: str, request: Request, request_target: RequestTarget
    ) -> tuple[RouteMatch, dict[str, list[str]]]:
        """The matching route, and the values of each relevant header by its lower-case name."""
        headers: dict[str, list[str]] = {}
        for name, value in request.headers:
            if (lowered := name.lower()) in self.relevant_headers:
                headers.setdefault(lowered.decode(), []).append(value.decode("latin-1"))
        lookup = RouteLookup(
            listener, request_target.host, request_target.path, request.method.decode(), headers
        )
        return self.table.find(lookup), headers

    def pick_pool(self, route_index: int) -> ActivePool:
        """Draws one of the route's pools at random by weight, independently for each query."""
        to, weights = self.routes[route_index].route.to, self.cumulative_weights[route_index]
        if len(to) == 1:
            return self.pools[to[0].pool]
        point = self.random() * weights[-1]
        return self.pools[
            next(target.pool for target, bound in zip(to, weights, strict=True) if point < bound)
        ]

    def is_sampled(self, trace: bytes) -> bool:
        """Whether the query gets an access log line.

        Decided by a hash of its id, so that all runs and all gateways sample the same queries and their lines
        can be joined.
        """
        if self.log_config.access >= 1:
            return True
        hashed = int.from_bytes(blake2b(trace, digest_size=4).digest(), "little")
        return hashed < self.log_config.access * (1 << 32)


class HttpRequestHandler:
    """The request handler of one listener; an empty `ready_path` serves no readiness endpoint."""

    def __init__(self, name: str, ready_path: str, routing: Routing, is_ready: Callable[[], bool]) -> None:
        self.name, self.ready_path, self.routing, self.is_ready = name, ready_path.encode(), routing, is_ready

    def handle(
        self, request: Request, sock: socket.socket, stopping: bool
    ) -> AcceptedQuery | ClientResponse | RejectedRequest:
        """Answers a readiness check, or routes the request; returns `RejectedRequest` for one that has no
        route."""
        routing = self.routing
        if self.ready_path and request.target.partition(b"?")[0] == self.ready_path:
            return (
                ClientResponse(200, b"ready\n")
                if self.is_ready() and not stopping
                else ClientResponse(503, b"not ready\n")
            )
        hosts = [value for name, value in request.headers if name.lower() == b"host"]
        if len(hosts) > 1:
            return RejectedRequest(400, "Host is there twice")
        try:
            request_target = parse_target(request.target, hosts[0] if hosts else None)
        except BadTarget as error:
            return RejectedRequest(400, str(error))
        route_match, headers = routing.find(self.name, request, request_target)
        if route_match.route_index is None:
            return (
                RejectedRequest(405, f"only {', '.join(route_match.methods)}")
                if route_match.methods
                else RejectedRequest(404, "no route")
            )
        if any(len(values) > 1 for values in headers.values()):
            return RejectedRequest(400, "a header that routes go by is there twice")
        state = routing.routes[route_match.route_index]
        if len(request.body) > state.route.body:
            return RejectedRequest(413, "the body is over the route's limit")
        return self.admit(request, sock, request_target, route_match.route_index, state, headers)

    def admit(
        self, request: Request, sock: socket.socket, request_target: RequestTarget, route_index: int,
        state: RouteState, headers: dict[str, list[str]],
    ) -> AcceptedQuery | ClientResponse | RejectedRequest:  # fmt: skip
        """Opens a query if all limits admit it; the cheapest are checked first.

        The order is the route's rate limits, the pool's adaptive limit, the route's concurrency limit. What a
        rate limit has counted is not returned if a later limit rejects.
        """
        routing, route, now = self.routing, state.route, self.routing.clock()
        client = peer_address(sock)
        request_ids = [value for name, value in request.headers if name.lower() == REQUEST_ID_HEADER]
        identity = 0
        if request_ids and route.effect == IRREVERSIBLE_EFFECT and request.method not in SAFE_METHODS:
            identity = query_identity(request_ids[0], request.method, request.target, request.body)
        if identity in routing.held_identities:
            return RejectedRequest(409, "X-Request-Id is that of the same request, which is held")
        for limit, limiter in zip(route.limits, state.rate_limiters, strict=True):
            key = client if limit.key == "client" else ""
            if name := limit.key.partition("header:")[2]:
                key = headers.get(name.lower(), [""])[0]
            if delay := limiter.admit(now, key):
                return self.reject(429, "rate", delay)
        active_pool = routing.pick_pool(route_index)
        if active_pool.adaptive_limiter is not None and not active_pool.adaptive_limiter.admit(
            len(active_pool.driver.held)
        ):
            return self.reject(503, "adaptive", seconds_to_ns(route.agreed), active_pool)
        if not state.concurrency_limiter.admit(client):
            return self.reject(503, "held", seconds_to_ns(route.agreed), active_pool)
        granted_retries = route.dispatches - 1
        if active_pool.retry_limiter is not None:
            granted_retries = active_pool.retry_limiter.grant(granted_retries)
        trace = request_ids[0][:MAX_REQUEST_ID_BYTES] if request_ids else b"%016x" % routing.random_bits(64)
        query = GatewayQuery(
            request.method, request_target.target.encode(),
            self.upstream_headers(request, request_target, client, trace, bool(request_ids)),
            request.body, active_pool.offering_numbers[route.name], seconds_to_ns(route.stop), trace,
            1 + granted_retries, on_end=self.end_callback(state, active_pool), route=route.name,
            pool=active_pool.config.name, client=client, granted_retries=granted_retries, accepted_at=now,
            identity=identity,
        )  # fmt: skip
        if identity:
            routing.held_identities.add(identity)
        return AcceptedQuery(query, active_pool.driver)

    def upstream_headers(
        self, request: Request, request_target: RequestTarget, client: str, trace: bytes, has_request_id: bool
    ) -> Headers:
        """The request's end-to-end headers, with Host, X-Forwarded-For and X-Request-Id set."""
        headers = forwarded_headers(request.headers, REPLACED_HEADERS)
        forwarded = [value for name, value in request.headers if name.lower() == FORWARDED_FOR_HEADER]
        if request_target.authority:
            headers.insert(0, (b"Host", request_target.authority.encode()))
        headers.append((b"X-Forwarded-For", b", ".join([*forwarded, client.encode()])))
        if not has_request_id:
            headers.append((b"X-Request-Id", trace))
        return headers

    def reject(
        self, status: int, limit_name: str, delay: int, active_pool: ActivePool | None = None
    ) -> ClientResponse:
        """A rejection before anything was sent, so that a retry is safe.

        Retry-After is `delay` (nanoseconds) plus random jitter of up to half of it, capped at `come_back` of
        `active_pool` if one is given. Without jitter, clients that were rejected together would retry
        together.
        """
        self.routing.counts[f"over_{limit_name}"] += 1
        jittered = int(delay * (1 + 0.5 * self.routing.random()))
        max_delay = SECOND if active_pool is None else seconds_to_ns(active_pool.config.come_back)
        retry_after = jittered if active_pool is None else min(jittered, max_delay)
        return ClientResponse(
            status, b"bounced: over a limit; a retry is harmless\n", max(1, retry_after), whole_seconds=True
        )

    def end_callback(
        self, state: RouteState, active_pool: ActivePool
    ) -> Callable[[GatewayQuery, int, str], None]:
        """Creates the callback that releases a query's share of the limits and writes its access log line."""

        def on_end(query: GatewayQuery, dispatches: int, ending: str) -> None:
            now = self.routing.clock()
            self.routing.held_identities.discard(query.identity)
            state.concurrency_limiter.release(query.client)
            if active_pool.retry_limiter is not None:
                active_pool.retry_limiter.refund(max(0, query.granted_retries - max(0, dispatches - 1)))
            if active_pool.adaptive_limiter is not None and ending == "done":
                active_pool.adaptive_limiter.record_answer(now, now - query.accepted_at)
            if self.routing.log_config.access and self.routing.is_sampled(query.trace_id):
                log.info("query", extra={
                    "id": query.trace_id.decode("latin-1"), "route": query.route, "pool": query.pool,
                    "client": query.client, "method": query.method.decode("latin-1"),
                    "target": query.target.decode("latin-1"), "dispatches": dispatches, "ending": ending,
                    "ms": (now - query.accepted_at) / MILLISECOND,
                })  # fmt: skip

        return on_end

    def query_finished(self, opened: AcceptedQuery) -> None:
        """Does nothing: `GatewayQuery.on_finished` has released the limits already."""


def peer_address(sock: socket.socket) -> str:
    """The client's IP address, or an empty string if it has disconnected."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""
