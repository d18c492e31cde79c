"""The server side of HTTP/1.1: parses the application's requests and serializes the responses."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

import h11

from maddercart.http.parsing import MAX_EVENTS_PER_TURN, has_too_many_fields

MAX_BODY_BYTES = 65536  # maximum size of a request body in bytes, set by the protocol
MAX_HEAD_BYTES = 16384  # request line and headers; a usual limit among servers


def reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


class Request(NamedTuple):
    """A complete request; header names keep the spelling of the client."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class RequestError(ValueError):
    """The input is not an acceptable request.

    `status` is that of the error response, after which the connection must be closed.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ServerProtocol:
    """One connection of the application.

    Pipelined requests are returned one at a time: the next one only once the previous one has been answered.
    `max_body_bytes` limits the body of a request. `closing` is true once no further request can follow: the
    client has closed its sending side, or the last response closes the connection. `unfinished` is true if
    the last call of `next_request` left received data that can be parsed, for a later turn of the loop;
    `events_taken` is the number of events that it parsed. Without `keeps_bodies`, requests have no body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, keeps_bodies: bool = True) -> None:
        self.max_body_bytes, self.keeps_bodies = max_body_bytes, keeps_bodies
        self.restart()

    def restart(self) -> None:
        """Drops what is not parsed yet and begins anew, as on a connection on which nothing was sent."""
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body, self.body_bytes, self.body_length = bytearray(), 0, 0
        self.events_taken = 0
        self.is_head_request = False  # of the last request, whose response has no body
        self.closing = self.unfinished = False

    def feed(self, data: bytes) -> None:
        """Adds received bytes; empty data means that the application has closed its sending side."""
        self.connection.receive_data(data)

    @property
    def unparsed(self) -> bytes:
        """The received bytes that are not parsed yet."""
        return self.connection.trailing_data[0]

    @property
    def unparsed_bytes(self) -> int:
        """The number of received bytes that are not parsed yet."""
        return len(self.unparsed)

    @property
    def head_fields(self) -> Sequence[tuple[bytes, bytes]]:
        """The header fields of a request that has been received in part."""
        return () if self.request is None else self.request.headers.raw_items()

    @property
    def bytes_wanted(self) -> int:
        """How many bytes to receive next: what the body lacks where its length is known, so that little is
        received of the requests behind it."""
        return max(0, self.body_length - self.body_bytes) or MAX_HEAD_BYTES

    @property
    def is_last_request(self) -> bool:
        """Whether the request that is being answered asks for the connection to be closed."""
        return self.connection.their_state is h11.MUST_CLOSE

    @property
    def request_started(self) -> bool:
        """Whether a request has been received in part."""
        return self.request is not None or bool(self.connection.trailing_data[0])

    def next_request(self, max_events: int = MAX_EVENTS_PER_TURN) -> Request | None:
        """Returns a complete request, or None if more data is needed or parsing is `unfinished`.

        Raises `RequestError`.
        """
        self.unfinished = False
        for self.events_taken in range(1, max_events + 1):
            if self.closing:
                return None
            if self.request is None and has_too_many_fields(self.unparsed):
                raise RequestError(431, "the head has too many fields")
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Request):
                self.check_framing(event)
                self.request, self.is_head_request = event, event.method == b"HEAD"
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                if self.keeps_bodies:
                    self.body += event.data
                if self.body_bytes > self.max_body_bytes:
                    raise RequestError(413, "the body is over the limit")
            elif isinstance(event, h11.EndOfMessage):
                request, body = self.request, bytes(self.body)
                self.request, self.body, self.body_bytes, self.body_length = None, bytearray(), 0, 0
                assert request is not None
                return Request(request.method, request.target, request.headers.raw_items(), body)
            else:
                self.closing = True
        self.unfinished = not self.closing
        return None

    def check_framing(self, request: h11.Request) -> None:
        """Rejects a request by its headers, before its body is read. Raises `RequestError`."""
        lengths = [value for name, value in request.headers if name == b"content-length"]
        chunked = any(name == b"transfer-encoding" for name, _ in request.headers)
        if lengths and chunked:  # ambiguous framing allows request smuggling
            raise RequestError(400, "Content-Length and Transfer-Encoding together")
        self.body_length = int(lengths[0]) if lengths else 0
        if self.body_length > self.max_body_bytes:
            raise RequestError(413, "the body is over the limit")
        if request.method == b"POST" and not (lengths or chunked):
            raise RequestError(411, "the length is missing")

    def continue_response(self) -> bytes:
        """Returns a 100 Continue response if the client waits for one before it sends the body, else b""."""
        if not self.connection.they_are_waiting_for_100_continue:
            return b""
        return self.connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def serialize_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes, close: bool
    ) -> bytes:
        """Serializes a response; afterwards `closing` tells whether the connection must be closed."""
        fields = [*headers, (b"Connection", b"close")] if close else [*headers]
        send = self.connection.send_with_data_passthrough  # copies the body only once, in the join
        parts = send(h11.Response(status_code=status, headers=fields, reason=reason_phrase(status))) or []
        if not self.is_head_request:
            parts += send(h11.Data(data=body)) or []
        parts += send(h11.EndOfMessage()) or []
        self.is_head_request = False  # an error response to what follows has a body
        if self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE:
            self.connection.start_next_cycle()
        else:
            self.closing = True
        return b"".join(parts)
