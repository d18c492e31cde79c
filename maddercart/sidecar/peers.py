"""Exchanges the list of upstreams with the other sidecars, for use while discovery can't be reached.

A sidecar starts with the list it last knew. When all sidecars of a tier start at once, discovery takes
seconds to answer them all, and until then each would send queries to upstreams that are gone, or that have
just come back and are cold. So a sidecar asks those that discovery has answered. A record that two peers
report alike counts as told, and is taken back once discovery answers. Times are nanoseconds of the monotonic
clock.
"""

import logging
import socket
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from random import Random

from maddercart.interface import DRAINING, GONE, READY, SECOND, ListEntry
from maddercart.messages.peer_messages import (
    ASK,
    MAX_DATAGRAM_BYTES,
    Message,
    UpstreamState,
    decode,
    encode,
    encode_tells,
    short_key,
)
from maddercart.net.loop import READ, Coroutine, Loop, Task, Wait
from maddercart.net.sockets import close
from maddercart.sidecar.upstreams import Upstreams

log = logging.getLogger(__name__)

Address = tuple[str, int]

MIN_AGREEING_PEERS = 2  # no decision rests on one datagram or on one sidecar
ASK_LIFETIME_NS = 2 * SECOND  # answers to older asks are dropped; datagrams take milliseconds
# Read in one turn of the loop, so that a flood does not delay queries; each may have the whole list searched.
MAX_DATAGRAMS_PER_TURN = 32
# How long discovery must be out of reach before peers are asked and believed, and the interval of asks then:
# a third of the time after which missed changes count as told.
DISCOVERY_OVERDUE_NS = 2 * SECOND
# Before discovery's first list. Not shorter, as a tier that starts at once already asks some thousand times.
STARTUP_ASK_INTERVAL_NS = SECOND // 2
# How many peers answer an ask on average, chosen at random. With seven in ten of them gone, seven still do,
# and two that agree are needed. Without this limit all of 200 answered, in several datagrams each.
EXPECTED_ANSWERS = 24
MAX_UNAGREED_RECORDS = (
    16_384  # that peers have not agreed on yet; several for each upstream of the largest fleet
)
# Within `ASK_LIFETIME_NS`: a peer that asks without end is not answered without end.
MAX_ANSWERS_PER_PEER = 4


class Peers:
    def __init__(
        self,
        loop: Loop,
        clock: Callable[[], int],
        sock: socket.socket,
        listen_address: Address,
        peer_addresses: Sequence[Address],
        tier_address: Address,
        upstreams: Upstreams,
        on_entries: Callable[[list[ListEntry]], None],
        counts: Counter[str],
        seed: int,
    ) -> None:
        """Binds the socket and starts to receive.

        `sock` is an unbound datagram socket. What is sent to `tier_address` reaches the whole tier.
        `on_entries` gets the entries that enough peers agree on.
        """
        self.random = Random(seed)
        self.loop, self.clock, self.tier_address, self.upstreams = loop, clock, tier_address, upstreams
        self.peer_addresses, self.on_entries, self.counts = frozenset(peer_addresses), on_entries, counts
        # Whether discovery has ever told this process the list, and whether it does now.
        self.ever_told = self.discovery_live = False
        self.discovery_lost_at = 0  # when discovery last told the list or was lost; 0: neither
        self.sent_asks: dict[int, int] = {}  # by token: when it was sent
        self.senders_by_record: dict[UpstreamState, set[Address]] = defaultdict(set)
        self.answer_times: dict[Address, list[int]] = {}  # by asker: when its recent asks were answered
        self.logged_reasons: set[str] = set()  # reasons for which a datagram was dropped
        self.sock = sock
        self.sock.bind(listen_address)
        self.task: Task = loop.spawn(self.receive())

    def close(self) -> None:
        self.loop.close(self.task)
        close(self.loop, self.sock)

    # -- state of discovery

    def set_discovery_live(self, live: bool) -> None:
        """`live`: True when discovery has told the list, False each time the watch or a call has failed."""
        if live or self.discovery_live:
            self.senders_by_record.clear()
            self.discovery_lost_at = self.clock()
        self.discovery_live, self.ever_told = live, self.ever_told or live
        self.ask()

    def accepts_reports(self, now: int) -> bool:
        """Whether peers are asked and believed: before discovery's first list, and once it has been out of
        reach long enough for drains to have been missed."""
        return not self.discovery_live and (
            not self.ever_told or now - self.discovery_lost_at >= DISCOVERY_OVERDUE_NS
        )

    def ask(self) -> None:
        """Asks the whole tier, unless reports are not accepted now or a recent ask is out."""
        now = self.clock()
        self.sent_asks = {
            token: sent_at for token, sent_at in self.sent_asks.items() if now - sent_at <= ASK_LIFETIME_NS
        }
        interval = DISCOVERY_OVERDUE_NS if self.ever_told else STARTUP_ASK_INTERVAL_NS
        if not self.accepts_reports(now) or any(
            now - sent_at < interval for sent_at in self.sent_asks.values()
        ):
            return
        token = self.random.getrandbits(64)
        self.sent_asks[token] = now
        self.send(encode(ASK, self.upstreams.version or 0, token), self.tier_address)

    # -- datagrams

    def receive(self) -> Coroutine:
        while True:
            yield Wait(self.sock.fileno(), READ)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:  # no more datagrams, or an ICMP error for one that was sent
                    break
                try:
                    self.handle_datagram(data, sender)
                except ValueError as error:
                    self.counts["words_dropped"] += 1
                    self.log_dropped(sender, str(error))
                except Exception:
                    log.exception("datagram failed")  # later ones are handled all the same

    def log_dropped(self, sender: Address, reason: str) -> None:
        """Logs each reason once at INFO, so that a tier whose datagrams are all dropped is noticed."""
        level = logging.DEBUG if reason in self.logged_reasons else logging.INFO
        self.logged_reasons.add(reason)
        log.log(level, "datagram dropped", extra={"from": "{}:{}".format(*sender), "reason": reason})

    def handle_datagram(self, data: bytes, sender: Address) -> None:
        """Raises `ValueError` for an invalid datagram, an unknown sender, or an answer to no recent ask."""
        if sender not in self.peer_addresses:
            raise ValueError("sender is not a known peer")
        message, now = decode(data), self.clock()
        if message.kind == ASK:
            self.answer(message, sender, now)
        elif self.accepts_reports(now):
            if now - self.sent_asks.get(message.token, now - ASK_LIFETIME_NS - 1) > ASK_LIFETIME_NS:
                raise ValueError("token matches no recent ask")
            self.handle_report(message, sender)

    def answer(self, message: Message, sender: Address, now: int) -> None:
        """Answers an ask, only while discovery is in reach.

        If peers passed on what they heard from peers, a report could come back as that of a second sidecar.
        """
        recent = [
            answered_at
            for answered_at in self.answer_times.get(sender, [])
            if now - answered_at < ASK_LIFETIME_NS
        ]
        if not self.discovery_live or len(recent) >= MAX_ANSWERS_PER_PEER:
            return
        if self.random.random() * len(self.peer_addresses) >= EXPECTED_ANSWERS:
            return
        self.answer_times[sender] = [*recent, now]
        records = [
            UpstreamState(short_key(number), condition, stamp_ms)
            for number, condition, stamp_ms in self.upstreams.changed_after(message.version)
        ]
        for data in encode_tells(self.upstreams.version or 0, message.token, records):
            self.send(data, sender)

    def handle_report(self, message: Message, sender: Address) -> None:
        """Applies the records that enough peers now agree on. Raises `ValueError` for unknown conditions."""
        agreed = []
        for record in message.states:
            if record.condition not in (GONE, READY, DRAINING):
                raise ValueError("unknown condition")
            self.senders_by_record[record].add(sender)
            if len(self.senders_by_record) > MAX_UNAGREED_RECORDS:
                del self.senders_by_record[next(iter(self.senders_by_record))]
            if len(self.senders_by_record[record]) == MIN_AGREEING_PEERS:
                agreed.append(record)
        if agreed:
            self.counts["words_heard"] += len(agreed)
            self.on_entries(entries_from_records(agreed, self.upstreams))

    def send(self, data: bytes, address: Address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError as error:  # delivery is best effort
            log.debug("datagram not sent", extra={"to": address, "reason": str(error)})


def entries_from_records(records: Sequence[UpstreamState], upstreams: Upstreams) -> list[ListEntry]:
    """Applies records to the known entries of their upstreams.

    Records of unknown upstreams are left out, since only discovery tells addresses, and so are those whose
    key stands for several. A READY record with an older start than the known one is out of date and left out.
    """
    starts, updated = upstreams.start_times, []
    for record in records:
        entry = upstreams.entry_of_short_key(record.key)
        if entry is None or (
            record.condition == READY and record.start_ms < starts.last_stamp_ms(entry.upstream)
        ):
            continue
        launched = starts.start_of(entry.upstream, record.start_ms)
        updated.append(entry._replace(condition=record.condition, started_at=launched))
    return updated
