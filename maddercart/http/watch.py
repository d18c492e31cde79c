"""Discovery's answers: the whole list, or a chunked one that stays open and holds a value for each change."""

import h11

from maddercart.http.values import NoValue, Values

MOST_VALUE = 4 * 1024 * 1024  # a whole list of some ten thousand upstreams


class WatchFailed(ValueError):
    """Discovery answered with something other than a list, or broke off."""


class NoList(WatchFailed):
    """What came can't be read or used, so that it is not known what the list is now."""


class WatchSide:
    """One connection: requests one after another, the last of which may be the watch."""

    def __init__(self, host: str) -> None:
        self.machine = h11.Connection(h11.CLIENT)
        self.host = host.encode()
        self.values = Values(MOST_VALUE)
        self.asked = False
        self.ended = False  # the answer is whole, and a further request may follow

    @property
    def part(self) -> bool:
        """A value has begun and is not whole yet."""
        return self.values.begun

    def request(self, target: str) -> bytes:
        if self.ended:
            self.machine.start_next_cycle()
            self.ended = False
        self.asked = True
        headers = [(b"Host", self.host), (b"Accept", b"application/json")]
        out = self.machine.send(h11.Request(method=b"GET", target=target.encode(), headers=headers)) or b""
        return out + (self.machine.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[bytes]:
        """The JSON values that have become whole; blanks between them are only a sign of life. Raises
        `WatchFailed`."""
        whole: list[bytes] = []
        try:
            self.machine.receive_data(data)
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return whole
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise WatchFailed(f"discovery answered {event.status_code}")
                if isinstance(event, h11.Data):
                    whole += self.values.feed(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if self.part:
                        raise NoList("the answer ended within a value")
                    self.ended = True
                    return whole
                elif isinstance(event, h11.ConnectionClosed):
                    raise WatchFailed("discovery closed the connection")
        except h11.RemoteProtocolError as error:
            raise WatchFailed(str(error)) from error
        except NoValue as error:
            raise NoList(str(error)) from error
