"""Answers: what an upstream sends back, and the final one that the application gets."""

from dataclasses import dataclass

from maddercart.interface import SECOND, Report


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer of an upstream."""

    status: int
    body: bytes
    never_ran: bool  # it says so itself
    report: Report | None


@dataclass(slots=True, frozen=True)
class Reply:
    """What the application is told. 429 and 503 mean bounced, and nothing but a bounce may say them."""

    status: int
    body: bytes
    come_back: int = 0  # nanoseconds; 0: unsaid

    def headers(self) -> list[tuple[bytes, bytes]]:
        said = [(b"Content-Length", b"%d" % len(self.body))]
        if self.come_back:
            said.append((b"Retry-After", b"%.3f" % (self.come_back / SECOND)))
        return said


def done(body: bytes) -> Reply:
    return Reply(200, body)


def bounced(come_back: int) -> Reply:
    return Reply(503, b"bounced: a retry is harmless\n", come_back)


def aborted() -> Reply:
    return Reply(502, b"aborted: it may have run\n")


def unfit(status: int, reason: str) -> Reply:
    return Reply(status, reason.encode() + b"\n")
