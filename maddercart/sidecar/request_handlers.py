"""Request handlers turn a request into a query for a pool's `BalancerDriver`, or answer it at once.
`applications.py` handles the connections, with their limits and shutdown, for all of them."""

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from maddercart.http.server import Request
from maddercart.messages.query import InvalidQuery, Query, parse_query
from maddercart.messages.responses import ClientResponse
from maddercart.sidecar.decisions import BalancerDriver

READY_PATH = b"/-/ready"


class RejectedRequest(NamedTuple):
    """The request is invalid: it is counted and answered with this status, and `reason` as the body."""

    status: int
    reason: str


@dataclass(slots=True)
class AcceptedQuery:
    """A query and the driver that takes it."""

    query: Query
    driver: BalancerDriver


class RequestHandler(Protocol):
    def handle(
        self, request: Request, sock: socket.socket, stopping: bool
    ) -> "AcceptedQuery | ClientResponse | RejectedRequest":
        """Handles a whole request: a query to take, an answer, or a rejection. Raises nothing for bad
        input."""

    def query_finished(self, opened: AcceptedQuery) -> None:
        """Called once the connection no longer waits: the query was answered, or the client has gone."""


class PlatformRequestHandler:
    """Reads the platform's requests: the first path segment names the offering; headers give the trace id
    and how long the client waits."""

    def __init__(self, driver: BalancerDriver, ready: Callable[[], bool]) -> None:
        self.driver, self.ready = driver, ready
        self.offerings: Mapping[str, int] = {}  # index in the settings by name
        self.traces: set[bytes] = set()  # trace ids of held queries

    def handle(
        self, request: Request, sock: socket.socket, stopping: bool
    ) -> "AcceptedQuery | ClientResponse | RejectedRequest":
        if request.target.partition(b"?")[0] == READY_PATH:
            ready = self.ready() and not stopping
            return ClientResponse(200, b"ready\n") if ready else ClientResponse(503, b"not ready\n")
        try:
            query = parse_query(*request, self.offerings)
        except InvalidQuery as error:
            return RejectedRequest(error.status, str(error))
        if query.trace_id in self.traces:  # the answers could be mixed up
            return RejectedRequest(409, "X-Trace-Id is that of a query that is held")
        self.traces.add(query.trace_id)
        return AcceptedQuery(query, self.driver)

    def query_finished(self, opened: AcceptedQuery) -> None:
        self.traces.discard(opened.query.trace_id)
