"""A stand-in for an HTTP server with configurable speed, cores, cold start and faults.

Faults come from a schedule, or at run time from a request to `/-/fault`. The simulated work takes time and no
CPU.
"""

import socket
from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from urllib.parse import parse_qs

import msgspec

from maddercart.http.server import Request, RequestError, ServerProtocol
from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import READ, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import accept, close, listen, read, write
from maddercart.sidecar.clock import MonotonicClock

FAULTS = ("up", "silent", "down", "errors", "slow", "drain", "cold")
IDLE_TIMEOUT_NS = 60 * SECOND  # idle timeout of a connection between requests


class InvalidFault(ValueError):
    """The text of a fault has no valid kind, time or figure."""


@dataclass(frozen=True)
class Fault:
    """A state that the server enters `delay` nanoseconds after its start.

    `value` is the share of failing requests for `errors` and the factor for `slow`; other kinds ignore it.
    """

    delay: int
    kind: str
    value: float = 1.0


def parse_fault(text: str) -> Fault:
    """Parses SECONDS:KIND[:FIGURE], such as `5:silent` or `10:errors:0.5`. Raises `InvalidFault`."""
    delay, _, rest = text.partition(":")
    kind, _, value = rest.partition(":")
    try:
        fault = Fault(round(float(delay) * SECOND), kind, float(value or 1.0))
    except ValueError as error:
        raise InvalidFault(f"{text!r}: {error}") from error
    if kind not in FAULTS or not 0 <= fault.value < 1e6 or fault.delay < 0:
        raise InvalidFault(f"{text!r}: a fault is SECONDS:KIND[:FIGURE], the kind one of {', '.join(FAULTS)}")
    return fault


@dataclass(frozen=True)
class StandInSettings:
    """Settings of a stand-in.

    A request takes `work_ms` of one core on average, log-normally distributed with `spread` as the standard
    deviation of the logarithm. Up to `queue_limit` requests wait for a core. After a cold start the speed
    rises from the share `cold_speed` to full speed in `ramp_seconds`. A repeated idempotency key has no
    effect within `key_memory_seconds` of its last use. All random draws follow from `seed`.
    """

    work_ms: float = 10.0
    spread: float = 0.3
    cores: int = 2
    queue_limit: int = 64
    cold_speed: float = 0.2
    ramp_seconds: float = 10.0
    key_memory_seconds: float = 10.0
    body_bytes: int = 64
    seed: int = 1
    faults: tuple[Fault, ...] = field(default=())


class StandInServer:
    """One server on one address. `effects_by_request` counts by request id how often a request took
    effect."""

    def __init__(
        self, loop: Loop, clock: MonotonicClock, address: tuple[str, int], settings: StandInSettings
    ) -> None:
        self.loop, self.clock, self.settings = loop, clock, settings
        self.rng = Random(settings.seed)
        self.listener = listen(address)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.state, self.state_value = "up", 1.0
        self.cold_since = -(1 << 60)  # when the last cold start began; at first so long ago that it is warm
        self.core_free_at = [0] * settings.cores  # a heap of the instants at which each core becomes free
        self.queued_starts: list[int] = []  # a heap of the instants at which queued requests start
        self.effects_by_request: Counter[str] = Counter()
        self.key_used_at: dict[str, int] = {}  # last use of each idempotency key
        self.counts: Counter[str] = Counter()
        self.connections: set[Task] = set()
        self.accept_task: Task | None = loop.spawn(self.accept_connections())
        started_at = clock()
        for fault in settings.faults:
            loop.call_at(
                started_at + fault.delay,
                lambda fault=fault: self.set_state(fault.kind, fault.value),  # type: ignore[misc]
            )

    # -- faults

    def set_state(self, kind: str, value: float) -> None:
        """Enters a state; `value` as in `Fault`.

        `down` closes the listener and all connections; any other kind then opens the address again. `cold`
        starts the cold ramp anew, in state `up`.
        """
        if self.state == "down" and kind != "down":
            self.listener = listen(self.address)
            self.accept_task = self.loop.spawn(self.accept_connections())
        if kind == "down" and self.state != "down":
            self.shut_down()
        if kind == "cold":
            self.cold_since, kind = self.clock(), "up"
        self.state, self.state_value = kind, value

    def shut_down(self) -> None:
        """Closes the listener and all connections, and drops all work in progress."""
        if self.accept_task is not None:
            self.loop.close(self.accept_task)
        self.loop.unregister(self.listener.fileno())
        self.listener.close()
        for task in list(self.connections):
            self.loop.close(task)
        self.core_free_at, self.queued_starts = [0] * self.settings.cores, []

    # -- serving

    def accept_connections(self) -> Coroutine:
        while True:
            yield Wait(self.listener.fileno(), READ)
            while (sock := accept(self.listener)) is not None:
                own_task: list[Task] = []
                task = self.loop.spawn(self.serve_connection(sock, own_task))
                own_task.append(task)
                if not task.finished:
                    self.connections.add(task)

    def serve_connection(self, sock: socket.socket, own_task: list[Task]) -> Coroutine:
        side = ServerProtocol(1 << 24)
        try:
            while not side.closing:
                request = side.next_request()
                if request is None:
                    if side.closing or not (data := (yield from read(sock, self.clock() + IDLE_TIMEOUT_NS))):
                        return
                    side.feed(data)
                    continue
                reply = yield from self.answer(request)
                status, headers, body = reply
                closing = self.state == "drain"
                if not (
                    yield from write(sock, side.serialize_response(status, headers, body, closing), None)
                ):
                    return
        except (OSError, RequestError):
            pass
        finally:
            if own_task:
                self.connections.discard(own_task[0])
            close(self.loop, sock)

    def answer(self, request: Request):  # type: ignore[no-untyped-def]
        path, _, query = request.target.decode("latin-1").partition("?")
        if path.startswith("/-/"):
            return self.answer_control(path, query)
        while self.state == "silent":
            yield Wait(deadline=self.clock() + SECOND // 10)
            # The client has long given up a request that came during the silence.
            if self.state != "silent":
                return make_reply(500, b"was silent")
        now = self.clock()
        self.counts["came"] += 1
        if self.state == "errors" and self.rng.random() < self.state_value:
            self.counts["failed"] += 1
            return make_reply(500, b"failed")
        while self.queued_starts and self.queued_starts[0] <= now:
            heappop(self.queued_starts)
        if len(self.queued_starts) >= self.settings.queue_limit:
            self.counts["full"] += 1
            return make_reply(503, b"full", never_ran=True)
        finish = self.schedule_work(now)
        headers = {name.lower(): value.decode("latin-1") for name, value in request.headers}
        self.record_effect(now, headers.get(b"x-request-id", ""), headers.get(b"idempotency-key", ""))
        yield Wait(deadline=finish)
        return make_reply(200, b"x" * self.settings.body_bytes)

    def schedule_work(self, now: int) -> int:
        """Assigns the work to the core that is free first; returns when it will be done."""
        progress = (now - self.cold_since) / SECOND / max(self.settings.ramp_seconds, 1e-9)
        speed = (
            1.0
            if progress >= 1
            else self.settings.cold_speed + (1 - self.settings.cold_speed) * max(0.0, progress)
        )
        slowdown = self.state_value if self.state == "slow" else 1.0
        duration_ms = self.settings.work_ms * self.rng.lognormvariate(
            -(self.settings.spread**2) / 2, self.settings.spread
        )
        start = max(now, heappop(self.core_free_at))
        finish = start + int(duration_ms * slowdown / speed * MILLISECOND)
        heappush(self.core_free_at, finish)
        if start > now:
            heappush(self.queued_starts, start)
        return finish

    def record_effect(self, now: int, request_id: str, key: str) -> None:
        """Counts an execution, unless the idempotency key was used recently. Empty `key`: none."""
        if key:
            last_used_at = self.key_used_at.get(key)
            self.key_used_at[key] = now
            if last_used_at is not None and now - last_used_at < self.settings.key_memory_seconds * SECOND:
                self.counts["repeats_dropped"] += 1
                return
        self.effects_by_request[request_id] += 1
        self.counts["ran"] += 1

    def answer_control(self, path: str, query: str) -> "Reply":
        """Answers a request to a control path below `/-/`."""
        if path == "/-/runs":
            return make_reply(200, msgspec.json.encode(self.effects_by_request))
        if path == "/-/counts":
            return make_reply(200, msgspec.json.encode({**self.counts, "waiting": len(self.queued_starts)}))
        if path == "/-/fault":
            arguments = {name: values[0] for name, values in parse_qs(query).items()}
            try:
                fault = parse_fault(f"0:{arguments.get('kind', '')}:{arguments.get('figure', '')}")
            except InvalidFault as error:
                return make_reply(400, str(error).encode())
            self.loop.call_at(self.clock(), lambda: self.set_state(fault.kind, fault.value))
            return make_reply(200, b"so be it")
        return make_reply(404, b"unknown")


Reply = tuple[int, list[tuple[bytes, bytes]], bytes]  # (status, headers, body)


def make_reply(status: int, body: bytes, never_ran: bool = False) -> Reply:
    headers = [(b"Content-Length", b"%d" % len(body))]
    return status, headers + [(b"X-Never-Ran", b"1")] * never_ran, body
