"""The client side of discovery's HTTP interface.

A response holds either the full list, or, for a watch, stays open and sends a JSON value for each change.
"""

import h11

from maddercart.http.json_splitter import JsonSplitter, JsonStreamError
from maddercart.http.parsing import MAX_LIST_EVENTS_PER_TURN

MAX_VALUE_BYTES = 4 * 1024 * 1024  # enough for a full list of about ten thousand upstreams


class WatchError(ValueError):
    """Discovery sent something other than a list, or the connection broke."""


class InvalidListing(WatchError):
    """Data of the list was invalid, so that the current state of the list is unknown."""


class WatchProtocol:
    """One connection to discovery: successive requests, the last of which may be the watch.

    `host` is the value of the Host header. `request_sent` is true once a request was made,
    `response_complete` once its response is complete and a further request may follow. `unfinished` is true
    if the last call of `feed` or `parse` left received data that can be parsed, for a later turn of the loop.
    """

    def __init__(self, host: str) -> None:
        self.connection = h11.Connection(h11.CLIENT)
        self.host = host.encode()
        self.splitter = JsonSplitter(MAX_VALUE_BYTES)
        self.request_sent = False
        self.response_complete = False
        self.unfinished = False

    @property
    def value_started(self) -> bool:
        """Whether a value has been received in part."""
        return self.splitter.in_value

    def serialize_request(self, target: str) -> bytes:
        if self.response_complete:
            self.connection.start_next_cycle()
            self.response_complete = False
        self.request_sent = True
        headers = [(b"Host", self.host), (b"Accept", b"application/json")]
        data = (
            self.connection.send(h11.Request(method=b"GET", target=target.encode(), headers=headers)) or b""
        )
        return data + (self.connection.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received data and parses it; see `parse`."""
        try:
            self.connection.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise WatchError(str(error)) from error
        return self.parse()

    def parse(self) -> list[bytes]:
        """Returns the JSON values that are now complete. Whitespace between them is only a keep-alive signal.

        Raises `WatchError`.
        """
        values: list[bytes] = []
        self.unfinished = False
        try:
            if self.splitter.unfinished:
                values += self.splitter.split()
            for _ in range(MAX_LIST_EVENTS_PER_TURN):
                if self.splitter.unfinished:
                    break
                event = self.connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return values
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise WatchError(f"discovery responded with status {event.status_code}")
                if isinstance(event, h11.Data):
                    values += self.splitter.feed(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if self.value_started:
                        raise InvalidListing("the response ended within a JSON value")
                    self.response_complete = True
                    return values
                elif isinstance(event, h11.ConnectionClosed):
                    raise WatchError("discovery closed the connection")
            self.unfinished = True
            return values
        except h11.RemoteProtocolError as error:
            raise WatchError(str(error)) from error
        except JsonStreamError as error:
            raise InvalidListing(str(error)) from error
