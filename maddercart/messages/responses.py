"""Responses of upstreams and the final responses that are sent to the application."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from maddercart.interface import SECOND, Report
from maddercart.messages.headers import Headers, forwarded_headers
from maddercart.messages.report import parse_load_report

LOAD_METRICS_HEADER, NEVER_RAN_HEADER = b"endpoint-load-metrics", b"x-never-ran"
CONSUMED_HEADERS = frozenset({LOAD_METRICS_HEADER, NEVER_RAN_HEADER})  # read by the sidecar, not forwarded


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response of an upstream.

    `headers` are those that are forwarded to the application. `never_ran` is true if the upstream states that
    it did not execute the query. `report` is None if the response carries no usable load report.
    """

    status: int
    headers: Headers
    body: bytes
    never_ran: bool
    report: Report | None


def parse_response(status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> UpstreamResponse:
    values_by_name = {name.lower(): value for name, value in headers}
    load_metrics = values_by_name.get(LOAD_METRICS_HEADER)
    report = None if load_metrics is None else parse_load_report(load_metrics.decode("latin-1"))
    return UpstreamResponse(
        status,
        forwarded_headers(headers, CONSUMED_HEADERS),
        body,
        values_by_name.get(NEVER_RAN_HEADER) == b"1",
        report,
    )


@dataclass(slots=True)
class ClientResponse:
    """The final response to the application.

    Statuses 429 and 503 mean that the query bounced and must not be used for any other outcome. `retry_after`
    is the delay in nanoseconds for Retry-After; 0 omits the header. `whole_seconds` rounds it up to whole
    seconds, as standard HTTP/1.1 requires; otherwise it has three decimals. `forwarded` holds the headers
    that are forwarded from the upstream's response.
    """

    status: int
    body: bytes
    retry_after: int = 0
    forwarded: Headers = field(default_factory=list)
    whole_seconds: bool = False

    def headers(self) -> Headers:
        headers = [*self.forwarded, (b"Content-Length", b"%d" % len(self.body))]
        if self.retry_after:
            seconds = -(-self.retry_after // SECOND) if self.whole_seconds else self.retry_after / SECOND
            headers.append((b"Retry-After", b"%d" % seconds if self.whole_seconds else b"%.3f" % seconds))
        return headers


def done_response(answer: UpstreamResponse) -> ClientResponse:
    return ClientResponse(answer.status, answer.body, forwarded=answer.headers)


def bounced_response(retry_after: int, whole_seconds: bool = False) -> ClientResponse:
    """A rejection with the promise that the query had no effect; the parameters are those of
    `ClientResponse`."""
    return ClientResponse(503, b"bounced: a retry is harmless\n", retry_after, whole_seconds=whole_seconds)


def aborted_response() -> ClientResponse:
    """A failure with unknown effect."""
    return ClientResponse(502, b"aborted: it may have run\n")


def client_error_response(status: int, reason: str) -> ClientResponse:
    """A client error; `reason` becomes the body."""
    return ClientResponse(status, reason.encode() + b"\n")
