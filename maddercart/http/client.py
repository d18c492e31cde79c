"""The client side of HTTP/1.1: serializes requests to an upstream and parses its responses."""

from collections.abc import Sequence
from typing import NamedTuple

import h11

from maddercart.http.parsing import MAX_EVENTS_PER_TURN, has_too_many_fields


class MalformedResponse(ValueError):
    """The received data is not a valid HTTP response or exceeds the size limit."""


class Response(NamedTuple):
    """A complete response; header names keep the spelling of the upstream."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


class ClientProtocol:
    """One connection, which carries one request at a time; `max_body_bytes` limits the body of a response.

    `unfinished` is true if the last call of `feed` or `parse` left received data that can be parsed, for a
    later turn of the loop.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.connection = h11.Connection(h11.CLIENT)
        self.response: h11.Response | None = None
        self.body = bytearray()
        self.unfinished = False

    @property
    def body_bytes(self) -> int:
        """The number of bytes of the body received so far."""
        return len(self.body)

    @property
    def received_bytes(self) -> int:
        """The bytes of the response received so far, those that are not parsed yet included."""
        return len(self.body) + len(self.connection.trailing_data[0])

    @property
    def response_started(self) -> bool:
        """Whether a response has been received in part."""
        return self.response is not None or bool(self.connection.trailing_data[0])

    def serialize_request(
        self, method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> bytes:
        data = self.connection.send(h11.Request(method=method, target=target, headers=list(headers))) or b""
        if body:
            data += self.connection.send(h11.Data(data=body)) or b""
        return data + (self.connection.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> Response | None:
        """Adds received data and parses it; see `parse`.

        Empty data means that the upstream has closed its sending side.
        """
        try:
            self.connection.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedResponse(str(error)) from error
        return self.parse()

    def parse(self) -> Response | None:
        """Returns the response once it is complete, else None.

        Raises `MalformedResponse`, also for a response that a close has truncated.
        """
        self.unfinished = False
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if self.response is None and has_too_many_fields(self.connection.trailing_data[0]):
                    raise MalformedResponse("the head has too many fields")
                event = self.connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self.check_content_length(event)
                    self.response = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.max_body_bytes:
                        raise MalformedResponse("response body exceeds the size limit")
                elif isinstance(event, h11.EndOfMessage):
                    response, body, self.response, self.body = self.response, self.body, None, bytearray()
                    assert response is not None
                    return Response(response.status_code, response.headers.raw_items(), bytes(body))
                elif isinstance(event, h11.ConnectionClosed):
                    return None
            self.unfinished = True
            return None
        except h11.RemoteProtocolError as error:
            raise MalformedResponse(str(error)) from error

    def check_content_length(self, response: h11.Response) -> None:
        """Rejects a body that is too large before it is read. Raises `MalformedResponse`."""
        for name, value in response.headers:
            if name == b"content-length" and int(value) > self.max_body_bytes:
                raise MalformedResponse("response body exceeds the size limit")

    def prepare_reuse(self) -> bool:
        """Prepares for a further request after a complete response.

        Returns false if the connection cannot carry one.
        """
        if self.connection.trailing_data[0] or self.connection.our_state is not h11.DONE:
            return False
        if self.connection.their_state is not h11.DONE:
            return False
        self.connection.start_next_cycle()
        return True
