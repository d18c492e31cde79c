"""Responses of upstreams and the final responses that are sent to the application."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from maddercart.interface import SECOND, Report
from maddercart.messages.headers import Headers, passed_on
from maddercart.messages.report import parse_load_report

LOAD_METRICS_HEADER, NEVER_RAN_HEADER = b"endpoint-load-metrics", b"x-never-ran"
CONSUMED_HEADERS = frozenset({LOAD_METRICS_HEADER, NEVER_RAN_HEADER})  # read by the sidecar, not forwarded


@dataclass(slots=True)
class Answer:
    """A complete response of an upstream.

    `headers` are those that are forwarded to the application. `never_ran` is true if the upstream states that
    it did not execute the query. `report` is None if the response carries no usable load report.
    """

    status: int
    headers: Headers
    body: bytes
    never_ran: bool
    report: Report | None


def read_answer(status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> Answer:
    values_by_name = {name.lower(): value for name, value in headers}
    load_metrics = values_by_name.get(LOAD_METRICS_HEADER)
    report = None if load_metrics is None else parse_load_report(load_metrics.decode("latin-1"))
    return Answer(
        status,
        passed_on(headers, CONSUMED_HEADERS),
        body,
        values_by_name.get(NEVER_RAN_HEADER) == b"1",
        report,
    )


@dataclass(slots=True)
class Reply:
    """The final response to the application.

    Statuses 429 and 503 mean that the query bounced and must not be used for any other outcome. `come_back`
    is the delay in nanoseconds for Retry-After; 0 omits the header. `whole` rounds it up to whole seconds, as
    standard HTTP/1.1 requires; otherwise it has three decimals. `passed` holds the headers that are forwarded
    from the upstream's response.
    """

    status: int
    body: bytes
    come_back: int = 0
    passed: Headers = field(default_factory=list)
    whole: bool = False

    def headers(self) -> Headers:
        headers = [*self.passed, (b"Content-Length", b"%d" % len(self.body))]
        if self.come_back:
            seconds = -(-self.come_back // SECOND) if self.whole else self.come_back / SECOND
            headers.append((b"Retry-After", b"%d" % seconds if self.whole else b"%.3f" % seconds))
        return headers


def done(answer: Answer) -> Reply:
    return Reply(answer.status, answer.body, passed=answer.headers)


def bounced(come_back: int, whole: bool = False) -> Reply:
    """A rejection with the promise that the query had no effect; the parameters are those of `Reply`."""
    return Reply(503, b"bounced: a retry is harmless\n", come_back, whole=whole)


def aborted() -> Reply:
    """A failure with unknown effect."""
    return Reply(502, b"aborted: it may have run\n")


def unfit(status: int, reason: str) -> Reply:
    """A client error; `reason` becomes the body."""
    return Reply(status, reason.encode() + b"\n")
