"""Discovery's answers: the whole list, or a chunked one that stays open and holds a line for each change."""

import h11

MOST_LINE = 4 * 1024 * 1024  # a whole list of some ten thousand upstreams


class WatchFailed(ValueError):
    """Discovery answered with something other than a list, or broke off."""


class WatchSide:
    """One connection: requests one after another, the last of which may be the watch."""

    def __init__(self, host: str) -> None:
        self.machine = h11.Connection(h11.CLIENT)
        self.host = host.encode()
        self.part = bytearray()  # of a line that is not whole yet
        self.ended = False  # the answer is whole, and a further request may follow

    def request(self, target: str) -> bytes:
        if self.ended:
            self.machine.start_next_cycle()
            self.ended = False
        headers = [(b"Host", self.host), (b"Accept", b"application/json")]
        out = self.machine.send(h11.Request(method=b"GET", target=target.encode(), headers=headers)) or b""
        return out + (self.machine.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that have become whole, empty ones among them. Raises `WatchFailed`."""
        lines: list[bytes] = []
        try:
            self.machine.receive_data(data)
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return lines
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise WatchFailed(f"discovery answered {event.status_code}")
                if isinstance(event, h11.Data):
                    *whole, rest = (self.part + event.data).split(b"\n")
                    self.part = rest
                    lines += [bytes(line).strip() for line in whole]
                    if len(rest) > MOST_LINE:
                        raise WatchFailed("a line is over the limit")
                elif isinstance(event, h11.EndOfMessage):
                    if self.part.strip():
                        lines.append(bytes(self.part).strip())
                    self.part.clear()
                    self.ended = True
                    return lines
                elif isinstance(event, h11.ConnectionClosed):
                    raise WatchFailed("discovery closed the connection")
        except h11.RemoteProtocolError as error:
            raise WatchFailed(str(error)) from error
