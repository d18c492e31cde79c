"""Follows the list: one watch at a time. When to ask again after a failure is the module's to say."""

import logging
import socket
from collections.abc import Callable, Generator

import msgspec

from maddercart.http.watch import NoList, WatchFailed, WatchSide
from maddercart.interface import SECOND
from maddercart.messages.upstreams import Listing, read_listing
from maddercart.net.loop import FIRST, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import close, connect, read, write
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)

ANSWER_WITHIN = 3 * SECOND  # of a call: a service that works through calls in turn may take a second or two
SILENCE = 5 * SECOND  # two of the empty lines that come every 2 s are missing, and some more


class Discovery:
    def __init__(
        self, loop: Loop, clock: Callable[[], int], at: tuple[str, int], upstreams: Upstreams,
        learn: Callable[[Listing], None], failed: Callable[[], None],
    ) -> None:  # fmt: skip
        self.loop, self.clock, self.at, self.upstreams = loop, clock, at, upstreams
        self.learn, self.failed = learn, failed
        self.following = False
        self.task: Task | None = None

    def follow(self) -> None:
        """Among its fellows in a turn it comes first: a drain counts as soon as it is told."""
        if not self.following:
            self.following = True
            self.loop.at(self.clock(), self.begin)

    def begin(self) -> None:
        self.task = self.loop.spawn(self.watch(), FIRST)

    def move(self, at: tuple[str, int]) -> None:
        """Follows another service from now on. Its versions are its own, so it is asked for the whole list;
        the one that is known stays in use until that has come."""
        if at != self.at:
            log.info("discovery moves", extra={"to": f"{at[0]}:{at[1]}", "seq": self.upstreams.version})
            self.at = at
            self.begin_anew()

    def begin_anew(self) -> None:
        """Asks for the whole list: changes alone do not tell of what was passed over, or placed otherwise."""
        self.upstreams.version = None
        if self.task is not None:
            self.loop.end(self.task)
            self.task, self.following = None, False
        self.follow()

    def watch(self) -> Coroutine:
        """However it ends, the module is told, or nobody would ever ask again."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            try:
                yield from self.converse(sock)
            finally:
                close(self.loop, sock)
        except (WatchFailed, OSError) as error:
            seq = self.upstreams.version
            log.warning("watch of the list ended", extra={"reason": str(error), "seq": seq})
        except Exception:
            log.exception("watch failed")
        self.task, self.following = None, False
        self.failed()

    def converse(self, sock: socket.socket) -> Generator[Wait, int, None]:
        """Ends by an exception only."""
        until = self.clock() + ANSWER_WITHIN
        if not (yield from connect(self.loop, sock, self.at, until)):
            raise WatchFailed("the connection never came up")
        side = WatchSide(f"{self.at[0]}:{self.at[1]}")
        while self.upstreams.version is None:
            yield from self.ask(sock, side, "/api/targets", until)
            while not side.ended:
                yield from self.receive(sock, side, until)
        target = f"/api/targets?watch=1&after={self.upstreams.version}"
        yield from self.ask(sock, side, target, until)
        while not side.ended:
            yield from self.receive(sock, side, until)
            until = self.clock() + SILENCE
        raise WatchFailed("discovery ended the watch")

    def ask(
        self, sock: socket.socket, side: WatchSide, target: str, until: int
    ) -> Generator[Wait, int, None]:
        if not (yield from write(sock, side.request(target), until)):
            raise WatchFailed("discovery takes no request")

    def receive(self, sock: socket.socket, side: WatchSide, until: int) -> Generator[Wait, int, None]:
        data = yield from read(sock, until)
        if data is None:
            raise WatchFailed("discovery is silent")
        try:
            values = side.feed(data)
        except NoList:
            self.upstreams.version = None
            raise
        for value in values:
            self.take(value)

    def take(self, value: bytes) -> None:
        """After one that can't be read, or that goes back, the whole list is asked for."""
        version, self.upstreams.version = self.upstreams.version, None
        try:
            listing = read_listing(value)
        except msgspec.MsgspecError as error:
            raise WatchFailed(f"what came is no list: {error}") from error
        if not listing.whole and version is None:
            raise WatchFailed("changes came where the whole list was asked for")
        if not listing.whole and version is not None and listing.seq < version:
            raise WatchFailed(f"the version went back from {version} to {listing.seq}")
        self.learn(listing)
