"""What a client sends while one of its requests is being answered: read on, and held within a limit.

Input is read on so that the end of the connection, which comes behind it, is noticed in time. Whole requests
within the limit are handled as usual, once those before them have been answered. What comes after them is
only parsed, dropped and counted; each of these requests is refused when its turn comes.
"""

from maddercart.http.parsing import MAX_EVENTS_PER_TURN
from maddercart.http.server import RequestError, ServerProtocol

MAX_READ_AHEAD_BYTES = 16384  # of a connection, held until the requests before have been answered
EXCESS_READ_BYTES = 16384  # parsed and dropped at once

REFUSAL_STATUS = 503  # nothing was sent on, so a retry is harmless
# No body, so that the refusals of all methods, HEAD included, are the same.
REFUSAL_HEADERS = ((b"Content-Length", b"0"),)


class ExcessRequests:
    """Parses what lies behind the request that is being answered, without keeping any of it.

    `kept` is the number of whole requests within the limit that the connection's protocol still holds; they
    come before the `refused` ones. `error` is set once the input is not an acceptable request, or is not
    received any more; what follows is ignored. `unfinished` is true if there is input left to parse in a
    later turn of the loop.
    """

    def __init__(self, max_body_bytes: int, held: bytes) -> None:
        """`held`: the input within the limit, from the first byte after the current request."""
        self.protocol = ServerProtocol(max_body_bytes, keeps_bodies=False)
        self.protocol.feed(held)
        self.within_limit = True  # `held` is still being parsed
        self.kept = self.refused = 0
        self.refusal = b""
        self.last_refusal = b""  # of the request that ends the connection; it is not in `refused`
        self.error: RequestError | None = None
        self.stopped_by: RequestError | None = None  # `error` once what was received before is parsed
        self.unfinished = True

    def feed(self, data: bytes) -> None:
        """Adds received bytes. To be called only if nothing is `unfinished`."""
        if not self.has_ended and self.stopped_by is None:
            self.protocol.feed(data)
            self.parse()

    def stop(self, reason: RequestError) -> None:
        """Ignores all input from now on. The connection ends with `reason` once the requests that came whole
        have been answered."""
        if not self.has_ended and self.stopped_by is None:
            self.stopped_by = reason
            if not self.unfinished:
                self.end_stopped()

    def end_stopped(self) -> None:
        self.error = self.stopped_by
        self.protocol.restart()  # drops the part of a request

    def parse(self) -> None:
        """Counts the requests that are complete, within what one turn of the loop may parse."""
        budget = MAX_EVENTS_PER_TURN
        while budget > 0 and not self.has_ended:
            try:
                request = self.protocol.next_request(budget)
            except RequestError as error:
                self.error = error
                break
            budget -= self.protocol.events_taken
            if request is not None:
                self.count()
            elif not self.protocol.unfinished:  # more has to be received
                self.within_limit = self.unfinished = False
                if self.stopped_by is not None:
                    self.end_stopped()
                return
        self.unfinished = not self.has_ended

    @property
    def has_ended(self) -> bool:
        """Whether no further request can follow."""
        return self.error is not None or self.protocol.closing

    def count(self) -> None:
        """Counts the request that was parsed last."""
        refusal = self.protocol.serialize_response(REFUSAL_STATUS, REFUSAL_HEADERS, b"", close=False)
        if self.within_limit:
            self.kept += 1
        elif self.protocol.closing:
            self.last_refusal = refusal
        else:
            self.refused += 1
            self.refusal = refusal

    def take_refusals(self, number: int) -> bytes:
        """The responses to the next `number` refused requests."""
        self.refused -= number
        return self.refusal * number


class ReadAhead:
    """What was received on a connection behind the request that is being answered.

    `protocol` holds it up to the limit. `excess` is None unless more has been received.
    """

    __slots__ = ("excess", "protocol")

    def __init__(self, protocol: ServerProtocol) -> None:
        self.protocol = protocol
        self.excess: ExcessRequests | None = None

    @property
    def pending(self) -> bool:
        """Whether anything was received that has not been handled."""
        return self.excess is not None or bool(self.protocol.unparsed_bytes)

    @property
    def unfinished(self) -> bool:
        """Whether there is input to `parse` before more may be read."""
        return self.excess is not None and self.excess.unfinished

    def parse(self) -> None:
        """Parses what is `unfinished`, within what one turn of the loop may parse."""
        if self.excess is not None:
            self.excess.parse()

    def room(self) -> int:
        """How many bytes may be fed now; 0 if the limit has been reached."""
        if self.excess is not None or self.protocol.is_last_request:
            return EXCESS_READ_BYTES
        return max(0, MAX_READ_AHEAD_BYTES - self.protocol.unparsed_bytes)

    def feed(self, data: bytes) -> None:
        """Adds bytes that were received while a request is being answered, `room` at most."""
        if self.excess is not None:
            self.excess.feed(data)
        elif not self.protocol.is_last_request:  # otherwise the connection ends with its response
            self.protocol.feed(data)

    def begin_excess(self) -> None:
        """Refuses what is received from now on, with the request that has been received in part."""
        self.excess = ExcessRequests(self.protocol.max_body_bytes, self.protocol.unparsed)
        self.excess.parse()

    def stop(self, reason: RequestError) -> None:
        """Receives nothing more of the requests behind the one that is being answered; see
        `ExcessRequests.stop`."""
        if self.excess is None:
            self.begin_excess()
        if self.excess is not None:
            self.excess.stop(reason)

    @property
    def held_bytes(self) -> int:
        """The received bytes that are not handled yet."""
        return self.protocol.unparsed_bytes + (self.excess.protocol.unparsed_bytes if self.excess else 0)

    def end_excess(self) -> None:
        """Goes back to handling requests, once all that were read have been answered."""
        self.excess = None
        self.protocol.restart()
