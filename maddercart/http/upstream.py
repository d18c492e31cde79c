"""The side towards an upstream: one request out as bytes, one answer out of the bytes that come back."""

from collections.abc import Sequence
from typing import NamedTuple

import h11


class Malformed(ValueError):
    """What came back is no answer, or one over the limit."""


class WholeAnswer(NamedTuple):
    status: int
    headers: Sequence[tuple[bytes, bytes]]  # the names as they were written
    body: bytes


class UpstreamSide:
    """One connection, which carries one request at a time; an answer's body may hold `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.machine = h11.Connection(h11.CLIENT)
        self.response: h11.Response | None = None
        self.body = bytearray()

    @property
    def held(self) -> int:
        """How many bytes of a body have come."""
        return len(self.body)

    @property
    def begun(self) -> bool:
        """Something of an answer has come."""
        return self.response is not None or bool(self.machine.trailing_data[0])

    def request(
        self, method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> bytes:
        out = self.machine.send(h11.Request(method=method, target=target, headers=list(headers))) or b""
        if body:
            out += self.machine.send(h11.Data(data=body)) or b""
        return out + (self.machine.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> WholeAnswer | None:
        """The answer once it is whole; empty data once the upstream has ended its sending. Raises
        `Malformed`, also for an answer that the end has cut short."""
        try:
            self.machine.receive_data(data)
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self.check_length(event)
                    self.response = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.most:
                        raise Malformed("the body is over the limit")
                elif isinstance(event, h11.EndOfMessage):
                    response, body, self.response, self.body = self.response, self.body, None, bytearray()
                    assert response is not None
                    return WholeAnswer(response.status_code, response.headers.raw_items(), bytes(body))
                elif isinstance(event, h11.ConnectionClosed):
                    return None
        except h11.RemoteProtocolError as error:
            raise Malformed(str(error)) from error

    def check_length(self, response: h11.Response) -> None:
        """Before the body comes: what can't be held is not begun."""
        for name, value in response.headers:
            if name == b"content-length" and int(value) > self.most:
                raise Malformed("the body is over the limit")

    def reuse(self) -> bool:
        """After a whole answer: true if the connection can carry a further request."""
        if self.machine.trailing_data[0] or self.machine.our_state is not h11.DONE:
            return False
        if self.machine.their_state is not h11.DONE:
            return False
        self.machine.start_next_cycle()
        return True
