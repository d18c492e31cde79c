"""The other sidecars' word for the list, in use while discovery does not speak to this one.

A sidecar starts with the list as it last had it. Where a whole tier starts at once discovery takes seconds to
tell them all, and till then each would send its queries to upstreams that have gone, or that have just come
back and are cold. So it asks those that discovery has told. What two of them say alike counts as told, and is
taken back once discovery speaks itself."""

import logging
import socket
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from random import Random

from maddercart.interface import DRAINING, GONE, READY, SECOND, Entry
from maddercart.messages.words import ASK, MOST, Message, Word, key_of, read, tells, write
from maddercart.net.loop import READ, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import close
from maddercart.sidecar.start_times import StartTimes
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)

Address = tuple[str, int]

ALIKE = 2  # so many must say the same: no decision rests on one datagram, nor on one sidecar
OLD = 2 * SECOND  # what answers an older ask is dropped: on their way datagrams take milliseconds
AT_ONCE = 256  # datagrams read in a turn: a flood must not hold up queries
OVERDUE = 2 * SECOND  # a third of the time after which what is missed counts; asks of ours are so far apart
# Before the first word: a tier that starts at once asks some thousand times as it is.
APART = SECOND // 2
# Of a tier about so many answer an ask, by chance: with seven in ten of them gone, seven still do, and two
# that say the same are needed. All of 200 answered, in several datagrams each.
ANSWERS = 24
ANSWERED = 4  # asks of one peer within `OLD`: one that asks without end is not answered without end


class Peers:
    def __init__(
        self,
        loop: Loop,
        clock: Callable[[], int],
        sock: socket.socket,
        at: Address,
        peers: Sequence[Address],
        everyone: Address,
        upstreams: Upstreams,
        hear: Callable[[list[Entry]], None],
        counts: Counter[str],
        seed: int,
    ) -> None:
        """`sock`: a datagram socket that is not bound yet; `everyone`: the address of the whole tier."""
        self.chance = Random(seed)
        self.loop, self.clock, self.everyone, self.upstreams = loop, clock, everyone, upstreams
        self.peers, self.hear, self.counts = frozenset(peers), hear, counts
        self.told = self.live = False  # discovery has spoken to this process; it still does
        self.lost_at = 0  # when it last broke off
        self.asks: dict[int, int] = {}  # when each was sent, by its token, in our clock
        self.said: dict[Word, set[Address]] = defaultdict(set)
        self.answered: dict[Address, list[int]] = {}
        self.logged: set[str] = set()  # reasons for which a datagram was dropped
        self.sock = sock
        self.sock.bind(at)
        self.task: Task = loop.spawn(self.receive())

    def close(self) -> None:
        self.loop.end(self.task)
        close(self.loop, self.sock)

    # -- what discovery does

    def follows(self, live: bool) -> None:
        """Discovery has told the list, or has broken off or failed once more."""
        if live or self.live:
            self.said.clear()
            self.lost_at = self.clock()
        self.live, self.told = live, self.told or live
        self.ask()

    def heeds(self, now: int) -> bool:
        """Whether the others' word counts: before discovery's first, and once it has been out of reach for
        long enough to have told them of drains."""
        return not self.live and (not self.told or now - self.lost_at >= OVERDUE)

    def ask(self) -> None:
        now = self.clock()
        self.asks = {token: at for token, at in self.asks.items() if now - at <= OLD}
        apart = OVERDUE if self.told else APART
        if not self.heeds(now) or any(now - at < apart for at in self.asks.values()):
            return
        token = self.chance.getrandbits(64)
        self.asks[token] = now
        self.send(write(ASK, self.upstreams.version or 0, token), self.everyone)

    # -- what comes

    def receive(self) -> Coroutine:
        while True:
            yield Wait(self.sock.fileno(), READ)
            for _ in range(AT_ONCE):
                try:
                    data, sender = self.sock.recvfrom(MOST + 1)
                except OSError:  # nothing more, or a refusal of what was sent before
                    break
                try:
                    self.take(data, sender)
                except ValueError as error:
                    self.counts["words_dropped"] += 1
                    self.log_dropped(sender, str(error))

    def log_dropped(self, sender: Address, reason: str) -> None:
        """Each reason once at INFO: a tier whose datagrams are all dropped must be seen."""
        level = logging.DEBUG if reason in self.logged else logging.INFO
        self.logged.add(reason)
        log.log(level, "datagram dropped", extra={"from": "{}:{}".format(*sender), "reason": reason})

    def take(self, data: bytes, sender: Address) -> None:
        """Raises `ValueError` for a datagram that is none of ours, or answers no recent ask."""
        if sender not in self.peers:
            raise ValueError("not from a peer")
        message, now = read(data), self.clock()
        if message.kind == ASK:
            self.answer(message, sender, now)
        elif self.heeds(now):
            if now - self.asks.get(message.token, now - OLD - 1) > OLD:
                raise ValueError("answers no ask of ours, or an old one")
            self.listen(message, sender)

    def answer(self, message: Message, sender: Address, now: int) -> None:
        """By who has it from discovery alone: what went round would come back as a second one's word."""
        lately = [at for at in self.answered.get(sender, []) if now - at < OLD]
        if not self.live or len(lately) >= ANSWERED:
            return
        if self.chance.random() * len(self.peers) >= ANSWERS:
            return
        self.answered[sender] = [*lately, now]
        words = [
            Word(key_of(number), condition, stamp_ms)
            for number, condition, stamp_ms in self.upstreams.changed_after(message.version)
        ]
        for data in tells(self.upstreams.version or 0, message.token, words):
            self.send(data, sender)

    def listen(self, message: Message, sender: Address) -> None:
        alike = []
        for word in message.words:
            if word.condition not in (GONE, READY, DRAINING):
                raise ValueError("no such condition")
            self.said[word].add(sender)
            if len(self.said[word]) == ALIKE:
                alike.append(word)
        if alike:
            self.counts["words_heard"] += len(alike)
            self.hear(entries_of(alike, self.upstreams.entries, self.upstreams.starts))

    def send(self, data: bytes, to: Address) -> None:
        try:
            self.sock.sendto(data, to)
        except OSError as error:  # late or not at all is what is promised
            log.debug("datagram not sent", extra={"to": to, "reason": str(error)})


def entries_of(words: Sequence[Word], known: Mapping[int, Entry], starts: StartTimes) -> list[Entry]:
    """Of upstreams that are listed here: where another is reached only discovery tells. That one is ready
    which started before what is known of it says nothing new."""
    by_key: dict[int, list[Entry]] = defaultdict(list)
    for entry in known.values():
        by_key[key_of(entry.upstream)].append(entry)
    made = []
    for word in words:
        for entry in by_key[word.key] if len(by_key[word.key]) == 1 else ():
            if word.condition != READY or word.stamp_ms >= starts.stamp_ms(entry.upstream):
                launched = starts.instant(entry.upstream, word.stamp_ms)
                made.append(entry._replace(condition=word.condition, launched=launched))
    return made
