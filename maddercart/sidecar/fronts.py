"""Fronts turn a request into a query for a pool's `BalancerDriver`, or answer it at once. `applications.py`
handles the connections, with their limits and shutdown, for all fronts."""

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from maddercart.http.application import Request
from maddercart.messages.answer import Reply
from maddercart.messages.query import Query, UnfitQuery, read_query
from maddercart.sidecar.decisions import BalancerDriver

READY_PATH = b"/-/ready"


class Unfit(NamedTuple):
    """The request is invalid: it is counted and answered with this status, and `reason` as the body."""

    status: int
    reason: str


@dataclass(slots=True)
class Opened:
    """A query and the driver that takes it."""

    query: Query
    driver: BalancerDriver


class Front(Protocol):
    def receive(self, request: Request, sock: socket.socket, stopping: bool) -> "Opened | Reply | Unfit":
        """Handles a whole request: a query to take, an answer, or a rejection. Raises nothing for bad
        input."""

    def over(self, opened: Opened) -> None:
        """Called once the connection no longer waits: the query was answered, or the client has gone."""


class PlatformFront:
    """Reads the platform's requests: the first path segment names the offering; headers give the trace id
    and how long the client waits."""

    def __init__(self, driver: BalancerDriver, ready: Callable[[], bool]) -> None:
        self.driver, self.ready = driver, ready
        self.offerings: Mapping[str, int] = {}  # index in the settings by name
        self.traces: set[bytes] = set()  # trace ids of held queries

    def receive(self, request: Request, sock: socket.socket, stopping: bool) -> "Opened | Reply | Unfit":
        if request.target.partition(b"?")[0] == READY_PATH:
            ready = self.ready() and not stopping
            return Reply(200, b"ready\n") if ready else Reply(503, b"not ready\n")
        try:
            query = read_query(*request, self.offerings)
        except UnfitQuery as error:
            return Unfit(error.status, str(error))
        if query.trace in self.traces:  # the answers could be mixed up
            return Unfit(409, "X-Trace-Id is that of a query that is held")
        self.traces.add(query.trace)
        return Opened(query, self.driver)

    def over(self, opened: Opened) -> None:
        self.traces.discard(opened.query.trace)
