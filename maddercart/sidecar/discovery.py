"""Follows the list: one watch at a time, and beside it the one of a service that is being left. When to ask
again after a failure is the module's to say.

What counts as told, and when, and which code keeps it: docs/told.md."""

import logging
import socket
from collections.abc import Callable, Generator, Sequence

import msgspec

from maddercart.http.watch import NoList, WatchFailed, WatchSide
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.upstreams import Listing, read_listing
from maddercart.net.loop import FIRST, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import close, connect, read, write
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)

# Empty lines come every 2 s, and what a silent watch misses counts as told 6 s after its last line: one line
# is missing and a third of another, and more than half of the 6 s is left for the calls that make up for it.
SILENCE = 2750 * MILLISECOND
# How long a call may go without a byte: at first, and after others whose time was up. A service that works
# through calls in turn may take two seconds, and one given up too soon goes to the end of its line. One that
# hangs as discovery comes back, the longest pause and a call that is answered must fit into 6 s.
ANSWER_WITHIN, ANSWER_MOST = 2 * SECOND, 3 * SECOND
LIST_MOST = 6 * SECOND  # from the first byte of a list to its last
# By the operators' page: what is missed counts as told so long after the last word of a watch that is silent
# or broken, and what discovery has to tell so long after SIGHUP has named another one.
MISSED_COUNTS, MOVED_COUNTS = 6 * SECOND, 4 * SECOND


class Call:
    """One conversation with a service."""

    def __init__(self, sock: socket.socket, at: tuple[str, int], version: int | None) -> None:
        self.at = at
        self.version = version  # of its list that is known here; None: it is asked for the whole one
        self.sock = sock
        self.side = WatchSide(f"{at[0]}:{at[1]}")
        self.task: Task | None = None
        self.heard = 0  # last on its watch
        self.patience = 0  # how long it may go without a byte until its first list has come
        self.begun = 0  # when the value began that is coming in, 0 if none is


class Discovery:
    def __init__(
        self, loop: Loop, clock: Callable[[], int], at: tuple[str, int], upstreams: Upstreams,
        learn: Callable[[Sequence[Listing]], None], failed: Callable[[int | None], None],
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.at, self.upstreams = loop, clock, at, upstreams
        self.learn, self.failed = learn, failed
        self.failures = 0  # calls and watches that have ended since the list was last heard
        self.heard_at = clock()  # when it was
        self.following = False
        self.anew = False  # the list known is not one of this service's, or changes on it will not do
        self.within = ANSWER_WITHIN
        self.due: int | None = None  # when what is missed meanwhile counts as told
        self.current: Call | None = None
        self.former: Call | None = None  # of the service that is being left, until the new one has spoken

    def follow(self) -> None:
        """Among its fellows in a turn it comes first: a drain counts as soon as it is told."""
        if not self.following:
            self.following = True
            self.loop.at(self.clock(), self.begin)

    def begin(self) -> None:
        if not self.following or self.current is not None:
            return
        try:
            call = Call(self.loop.machine.tcp(), self.at, None if self.anew else self.upstreams.version)
        except Exception as error:
            self.ended(None, error)
            return
        self.current = call
        call.task = self.loop.spawn(self.converse(call), FIRST)

    def move(self, at: tuple[str, int]) -> None:
        """Follows another service from now on. Its versions are its own, so it is asked for the whole list;
        the one that is known stays in use until that has come."""
        if at != self.at:
            log.info("discovery moves", extra={"to": f"{at[0]}:{at[1]}", "seq": self.upstreams.version})
            self.at = at
            self.owe(self.clock() + MOVED_COUNTS)
            self.begin_anew()

    def owe(self, due: int) -> None:
        """The list must be heard by then; a later move does not put off what was owed before."""
        if self.due is None or not self.clock() < self.due < due:
            self.due = due

    def begin_anew(self) -> None:
        """Asks for the whole list: changes alone do not tell of what was passed over, or placed otherwise.
        Until it has come the watch that was open goes on: a drain told on it meanwhile counts as well."""
        self.anew, self.within = True, ANSWER_WITHIN
        if (call := self.current) is not None:
            self.current, self.following = None, False
            if self.former is None and call.version is not None:
                self.former = call
            else:
                self.end(call)
        self.follow()

    def close(self) -> None:
        """Asks nothing any more."""
        for call in (self.current, self.former):
            if call is not None:
                self.end(call)
        self.current = self.former = None
        self.following = False

    def news(self) -> bool:
        """Something has been written here that was not read yet, or the end of it."""
        for call in (self.current, self.former):
            if call is not None and call.sock.fileno() >= 0 and call.side.asked:
                try:
                    call.sock.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    continue
                except OSError:
                    pass
                return True
        return False

    # -- a conversation

    def end(self, call: Call) -> None:
        if call.task is not None:
            self.loop.end(call.task)

    def converse(self, call: Call) -> Coroutine:
        """However it ends, the module is told, or nobody would ever ask again."""
        fault: Exception
        try:
            try:
                yield from self.watch(call)
            finally:
                close(self.loop, call.sock)
        except Exception as error:
            fault = error
        self.ended(call, fault)

    def ended(self, call: Call | None, fault: Exception) -> None:
        if isinstance(fault, WatchFailed | OSError):
            which = "former watch" if self.left(call) else "watch"
            words = {"reason": str(fault), "seq": self.upstreams.version, "unheard_ms": self.unheard_ms()}
            log.warning(f"{which} of the list ended", extra=words)
        else:
            log.error("watch failed", exc_info=fault)
        if self.left(call):
            self.former = None
            return
        if isinstance(fault, NoList):
            self.anew = True
        if call is not None and call.heard:
            self.owe(call.heard + MISSED_COUNTS)
        self.failures += 1
        self.current, self.following = None, False
        left = self.due - self.clock() if self.due is not None else 0
        self.failed(left if left > 0 else None)

    def unheard_ms(self) -> int:
        """How long nothing has been heard of the list."""
        return (self.clock() - self.heard_at) // MILLISECOND

    def left(self, call: Call | None) -> bool:
        return call is not None and call is self.former

    def watch(self, call: Call) -> Generator[Wait, int, None]:
        """Ends by an exception only."""
        call.patience = self.within
        side, until = call.side, self.clock() + call.patience
        self.within = min(2 * self.within, ANSWER_MOST)  # unless it answers
        if not (yield from connect(self.loop, call.sock, call.at, until)):
            raise WatchFailed("the connection never came up")
        while call.version is None:
            yield from self.ask(call, "/api/targets", until)
            while not side.ended:
                yield from self.receive(call, until)
        yield from self.ask(call, f"/api/targets?watch=1&after={call.version}", until)
        while not side.ended:
            yield from self.receive(call, until)
            call.heard = self.heard_at = self.clock()
            until = call.heard + SILENCE
        raise WatchFailed("discovery ended the watch")

    def ask(self, call: Call, target: str, until: int) -> Generator[Wait, int, None]:
        if not (yield from write(call.sock, call.side.request(target), until)):
            raise WatchFailed("discovery takes no request")

    def receive(self, call: Call, until: int) -> Generator[Wait, int, None]:
        if call.begun:  # a list without end is no news, and a long one may take its time
            until = min(self.clock() + call.patience, call.begun + LIST_MOST)
        data = yield from read(call.sock, until)
        if data is None:
            raise WatchFailed("discovery is silent" if not call.begun else "a list did not come to its end")
        values = call.side.feed(data)
        call.begun = (call.begun or self.clock()) if call.side.part and not values else 0
        if values:
            self.take(call, values)

    def take(self, call: Call, values: Sequence[bytes]) -> None:
        """All that was read at once is learnt at once. After what can't be read, or goes back, the whole list
        is asked for."""
        listings: list[Listing] = []
        try:
            for value in values:
                listings.append(self.listing(call, value))
        finally:
            if listings:
                self.took(call, listings)

    def listing(self, call: Call, value: bytes) -> Listing:
        try:
            listing = read_listing(value)
        except msgspec.MsgspecError as error:
            raise NoList(f"what came is no list: {error}") from error
        if not listing.whole and call.version is None:
            raise NoList("changes came where the whole list was asked for")
        if not listing.whole and call.version is not None and listing.seq < call.version:
            raise NoList(f"the version went back from {call.version} to {listing.seq}")
        call.version = listing.seq
        return listing

    def took(self, call: Call, listings: Sequence[Listing]) -> None:
        if not self.left(call):
            self.within, self.anew, self.due = ANSWER_WITHIN, False, None
            if self.former is not None:
                self.end(self.former)
                self.former = None
        if self.failures:
            words = {"seq": listings[-1].seq, "failures": self.failures, "unheard_ms": self.unheard_ms()}
            log.info("list heard again", extra=words)
        self.failures = 0
        self.learn(listings)
