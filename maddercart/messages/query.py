"""Queries, parsed from the application's requests and forwarded to an upstream."""

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from urllib.parse import unquote

from maddercart.messages.headers import Headers, forwarded_headers

METHODS = (b"GET", b"POST")
EXPIRES_IN_UNITS_NS = {"m": 1_000_000, "u": 1_000}
EXPIRES_IN_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
REWRITTEN_HEADERS = frozenset({b"x-expires-in"})  # written again for each dispatch
IDENTITY_BYTES = 8
# These must not occur twice, since it would be ambiguous which value applies.
UNIQUE_HEADERS = frozenset({b"x-trace-id", b"x-qos", b"x-expires-in", b"idempotency-key"})


class InvalidQuery(ValueError):
    """A request that is not a valid query; `status` is the 4xx status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Query:
    """A query that waits for its final response.

    `headers` are those that are forwarded unchanged. `offering` is an index into the settings' offerings.
    `remaining` is the time in nanoseconds for which the client waits. `trace_id` is the id of the query, the
    same on all hops. `max_dispatches` is the maximum number of dispatches; 0 allows as many as the settings
    do. `identity` is the same for a query that comes again; 0 if that can't be known.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    offering: int
    remaining: int
    trace_id: bytes
    max_dispatches: int = 0
    identity: int = 0

    def on_finished(self, dispatches: int, ending: str) -> None:
        """Called once the query has its final response or its client has disconnected.

        `dispatches` is the number of dispatches and `ending` the outcome. Does nothing here; the gateway
        overrides it to count queries.
        """

    def headers_for(self, timeout: int) -> Headers:
        """Returns the headers of a dispatch whose response is awaited for `timeout` nanoseconds."""
        length_headers = (
            [(b"Content-Length", b"%d" % len(self.body))] if self.body or self.method != b"GET" else []
        )
        return [*self.headers, (b"X-Expires-In", b"%du" % max(1, timeout // 1_000)), *length_headers]


def query_identity(*parts: bytes) -> int:
    """An identity from what is the same whenever a query comes again."""
    digest = blake2b(digest_size=IDENTITY_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def has_duplicate_header(headers: Sequence[tuple[bytes, bytes]]) -> bool:
    names = [name for name, _ in headers if name.lower() in UNIQUE_HEADERS]
    return len({name.lower() for name in names}) < len(names)


def parse_query(
    method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes,
    offerings: Mapping[str, int],
) -> Query:  # fmt: skip
    """Raises `InvalidQuery`; `offerings` maps each name to its index in the settings."""
    if method not in METHODS:
        raise InvalidQuery(405, "neither GET nor POST")
    values_by_name = {name.lower(): value for name, value in headers}
    path = target.decode("ascii", "replace").partition("?")[0]
    offering = offerings.get(unquote(path.removeprefix("/").partition("/")[0]))
    qos = values_by_name.get(b"x-qos")
    if offering is None:
        raise InvalidQuery(404, "the path names no offering")
    if qos is not None and offerings.get(qos.decode("ascii", "replace")) != offering:
        raise InvalidQuery(400, "X-Qos names no offering, or another one than the path")
    if len(values_by_name) < len(headers) and has_duplicate_header(headers):
        raise InvalidQuery(400, "a header of ours is there twice")
    if not (trace := values_by_name.get(b"x-trace-id", b"")):
        raise InvalidQuery(400, "X-Trace-Id is missing")
    expires_in = EXPIRES_IN_PATTERN.fullmatch(values_by_name.get(b"x-expires-in", b"").strip())
    if expires_in is None:
        raise InvalidQuery(400, "X-Expires-In is missing, or no number with its unit (m or u)")
    remaining = int(float(expires_in[1]) * EXPIRES_IN_UNITS_NS[expires_in[2].decode()])
    if remaining <= 0:
        raise InvalidQuery(408, "its time is already up")
    return Query(
        method, target, forwarded_headers(headers, REWRITTEN_HEADERS), body, offering, remaining, trace,
        identity=query_identity(trace),
    )  # fmt: skip
