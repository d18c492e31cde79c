"""An open-loop load generator.

Requests are sent when they are due, whatever became of earlier ones, and latencies count from when a request
was due. The result holds the fate of each request id.
"""

import socket
from collections import Counter, deque
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from maddercart.http.client import ClientProtocol, MalformedResponse
from maddercart.interface import MILLISECOND, SECOND
from maddercart.net.loop import Coroutine, Loop, Wait
from maddercart.net.sockets import close, connect, read, write
from maddercart.sidecar.clock import MonotonicClock

FATES = ("done", "refused", "bounced", "aborted", "lost", "late")


def classify_status(status: int) -> str:
    """The fate that an answer's status stands for.

    503 and 429 promise that a retry is harmless, other 5xx promise nothing, other 4xx refuse the request.
    """
    if status in (429, 503):
        return "bounced"
    if status >= 500:
        return "aborted"
    return "done" if status < 400 else "refused"


@dataclass(frozen=True)
class LoadShape:
    """The arrival rate over time; `rate` and `end_rate` are requests per second.

    `pattern` is `constant`, `ramp` (linearly from `rate` to `end_rate`) or `burst`: the requests of each half
    second come within its first twentieth.
    """

    pattern: str = "constant"
    rate: float = 100.0
    end_rate: float = 0.0
    duration_seconds: float = 10.0
    seed: int = 1

    def due_times(self) -> list[int]:
        """Due times of a Poisson process, in nanoseconds from the start."""
        rng, arrival_s, due_times = Random(self.seed), 0.0, []
        peak_rate = max(self.rate, self.end_rate if self.pattern == "ramp" else 0.0)
        while peak_rate > 0:
            arrival_s += rng.expovariate(peak_rate)
            if arrival_s >= self.duration_seconds:
                break
            rate = (
                self.rate + (self.end_rate - self.rate) * arrival_s / self.duration_seconds
                if self.pattern == "ramp"
                else peak_rate
            )
            if rng.random() * peak_rate < rate:
                due_s = arrival_s
                if self.pattern == "burst":
                    half_second = int(arrival_s * 2) / 2
                    due_s = half_second + (arrival_s - half_second) / 20
                due_times.append(int(due_s * SECOND))
        return due_times


@dataclass(frozen=True)
class RequestTemplate:
    """What each request looks like; `{n}` stands for its number in the path and for its id in a header."""

    method: str = "GET"
    path: str = "/accounts/{n}"
    host: str = "load"
    headers: tuple[tuple[str, str], ...] = ()
    body_bytes: int = 0  # bytes
    timeout_seconds: float = 5.0  # timeout in seconds, from when the request is due
    with_idempotency_key: bool = False  # each request carries its own Idempotency-Key
    source_address: str = ""  # the client's IP address; empty: chosen by the system


@dataclass
class SecondStats:
    """Results of the requests that were due in one second."""

    fate_counts: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)  # latencies in milliseconds of the requests done


@dataclass
class LoadResult:
    """Results of a whole load."""

    fate_counts: Counter[str] = field(default_factory=Counter)
    status_counts: Counter[int] = field(default_factory=Counter)
    by_second: dict[int, SecondStats] = field(default_factory=dict)  # by second since the start
    # Latencies in microseconds, up to one hour.
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 3600 * 10**6, 3))
    behind_ms: float = 0.0  # the longest delay of a request's start after its due time
    fate_by_request: dict[str, str] = field(default_factory=dict)  # fate by request id
    retry_after_seconds: list[float] = field(default_factory=list)  # values of Retry-After, in seconds

    def figures(self) -> dict[str, float]:
        """The figures of the report, by name: counts of requests, and times in milliseconds."""
        total = sum(self.fate_counts.values())
        latencies = {
            f"p{percentile:g}_ms".replace(".", "_"): self.histogram.get_value_at_percentile(percentile) / 1e3
            for percentile in (50, 95, 99, 99.9)
        }
        return {
            "asked": total,
            **{name: self.fate_counts[name] for name in FATES},
            **latencies,
            "behind_ms": self.behind_ms,
        }


class LoadGenerator:
    """Sends requests through an event loop.

    `id_prefix` begins each request's id. A request waits, and its latency counts, while `max_connections` are
    in use. `on_end` is called with the due second, the fate and the latency in milliseconds.
    """

    def __init__(
        self, loop: Loop, clock: MonotonicClock, address: tuple[str, int], template: RequestTemplate,
        id_prefix: str = "r", max_connections: int = 512,
        on_end: Callable[[int, str, float], None] = lambda second, fate, ms: None,
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.address, self.template, self.id_prefix = (
            loop, clock, address, template, id_prefix,
        )  # fmt: skip
        self.max_connections, self.on_end = max_connections, on_end
        self.idle_connections: deque[tuple[socket.socket, ClientProtocol]] = deque()
        self.open_connections = 0
        self.result = LoadResult()
        self.unfinished = 0
        self.waiting: deque[int] = deque()

    def start(self, times: list[int]) -> None:
        """Starts sending; `times` are due times in nanoseconds from now."""
        self.started_at, self.unfinished = self.clock(), len(times)
        self.loop.spawn(self.send_on_schedule(times))

    def send_on_schedule(self, times: list[int]) -> Coroutine:
        for index, due in enumerate(times):
            if self.clock() < self.started_at + due:
                yield Wait(deadline=self.started_at + due)
            delay_ms = (self.clock() - self.started_at - due) / MILLISECOND
            self.result.behind_ms = max(self.result.behind_ms, delay_ms)
            self.loop.spawn(self.run_request(index, self.started_at + due))

    def finished(self) -> bool:
        """Whether every request has ended."""
        return self.unfinished == 0

    def run_request(self, index: int, due: int) -> Coroutine:
        """Sends one request and records its fate."""
        request_id, deadline = f"{self.id_prefix}-{index}", due + int(self.template.timeout_seconds * SECOND)
        fate = "lost"
        try:
            fate = yield from self.exchange(index, request_id, deadline)
        except (OSError, MalformedResponse):
            fate = "lost"
        finally:
            latency_ms = (self.clock() - due) / MILLISECOND
            stats = self.result.by_second.setdefault((due - self.started_at) // SECOND, SecondStats())
            stats.fate_counts[fate] += 1
            self.result.fate_counts[fate] += 1
            self.result.fate_by_request[request_id] = fate
            if fate == "done":
                stats.latencies_ms.append(latency_ms)
                self.result.histogram.record_value(max(1, int(latency_ms * 1000)))
            self.unfinished -= 1
            self.on_end((due - self.started_at) // SECOND, fate, latency_ms)

    def exchange(self, index: int, request_id: str, deadline: int) -> Generator[Wait, int, str]:
        """Sends one request and returns its fate; raises OSError or Malformed if the connection fails."""
        while self.open_connections >= self.max_connections and not self.idle_connections:
            yield Wait(deadline=self.clock() + MILLISECOND)
            if self.clock() >= deadline:
                return "late"
        if self.idle_connections:
            sock, side = self.idle_connections.pop()
        else:
            sock, side = (
                socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK),
                ClientProtocol(1 << 24),
            )
            self.open_connections += 1
            if self.template.source_address:
                sock.bind((self.template.source_address, 0))
            try:
                connected = yield from connect(self.loop, sock, self.address, deadline)
            except OSError:
                connected = False
            if not connected:
                return self.close_connection(sock, "lost")
        reusable = False
        try:
            headers = [(b"Host", self.template.host.encode()), (b"X-Request-Id", request_id.encode())]
            for name, value in self.template.headers:
                headers.append((name.encode(), value.replace("{n}", request_id).encode()))
            if self.template.with_idempotency_key:
                headers.append((b"Idempotency-Key", request_id.encode()))
            body = b"x" * self.template.body_bytes
            if body or self.template.method != "GET":
                headers.append((b"Content-Length", b"%d" % len(body)))
            target = self.template.path.replace("{n}", str(index)).encode()
            data = side.serialize_request(self.template.method.encode(), target, headers, body)
            if not (yield from write(sock, data, deadline)):
                return "late"
            while True:
                received = yield from read(sock, deadline)
                if received is None:
                    return "late"
                response = side.feed(received)
                if response is not None:
                    reusable = side.prepare_reuse()
                    self.result.status_counts[response.status] += 1
                    retry_after = [
                        value for name, value in response.headers if name.lower() == b"retry-after"
                    ]
                    if retry_after:
                        self.result.retry_after_seconds.append(float(retry_after[0]))
                    return classify_status(response.status)
                if not received:
                    return "lost"
        finally:
            if reusable:
                self.idle_connections.append((sock, side))
            else:
                self.close_connection(sock, "")

    def close_connection(self, sock: socket.socket, fate: str) -> str:
        self.open_connections -= 1
        close(self.loop, sock)
        return fate

    def close(self) -> None:
        for sock, _ in self.idle_connections:
            close(self.loop, sock)


def run_load(
    address: tuple[str, int], shape: LoadShape, template: RequestTemplate, id_prefix: str = "r",
    max_connections: int = 512, on_end: Callable[[int, str, float], None] = lambda second, fate, ms: None,
) -> LoadResult:  # fmt: skip
    """Runs a whole load in this process, until all requests have ended or timed out."""
    clock = MonotonicClock()
    loop = Loop(clock)
    load = LoadGenerator(loop, clock, address, template, id_prefix, max_connections, on_end)
    load.start(shape.due_times())
    deadline = clock() + int((shape.duration_seconds + template.timeout_seconds + 5) * SECOND)
    while not load.finished() and clock() < deadline:
        loop.call_at(clock() + 20 * MILLISECOND, lambda: None)
        loop.run_once()
    load.close()
    loop.epoll.close()
    return load.result
