"""The exchange of the upstream list between sidecars: what is sent and dropped, and when reports count."""

import socket
import time
from collections.abc import Iterator

import pytest

from maddercart.interface import DRAINING, GONE, READY, SECOND
from maddercart.messages.peer_messages import (
    ASK,
    MAX_DATAGRAM_BYTES,
    MAX_RECORDS,
    TELL,
    Message,
    UpstreamState,
    decode,
    encode,
    encode_tells,
    short_key,
)
from maddercart.messages.upstreams import Listing
from maddercart.sidecar import peers as peer_module
from maddercart.sidecar.upstreams import upstream_number
from tests.helpers import SidecarHarness
from tests.test_sidecar import accept_watch, send_list_line

KEY = short_key(upstream_number("s-1"))


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Tier:
    """A sidecar that has just started, with sockets for two peers and, as the third, a stranger."""

    def __init__(self) -> None:
        self.peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for peer in self.peers:
            peer.bind(("127.0.0.1", 0))
            peer.settimeout(2)
        addresses = ["{}:{}".format(*peer.getsockname()) for peer in self.peers]
        self.port_probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.port_probe.bind(("127.0.0.1", 0))
        listen_address = self.port_probe.getsockname()
        self.port_probe.close()
        self.harness = SidecarHarness(
            2, peer_listen="{}:{}".format(*listen_address), peers=addresses[:2], peers_all=addresses[0]
        )
        self.listen_address = listen_address

    def send(self, data: bytes, peer: int = 0) -> None:
        self.peers[peer].sendto(data, self.listen_address)
        self.harness.run_for(0.02)

    def token(self) -> int:
        """The token of the last ask, which is made to seem just sent."""
        peers = self.harness.node.peers
        assert peers is not None
        token = next(reversed(peers.sent_asks))
        peers.sent_asks[token] = self.harness.node.clock()
        return token

    def report(self, condition: int, peer: int, stamp_ms: int = 0) -> None:
        self.send(encode(TELL, 7, self.token(), [UpstreamState(KEY, condition, stamp_ms)]), peer)

    def condition(self) -> int:
        known = self.harness.node.driver.balancer.registry.by_id.get(upstream_number("s-1"))
        return GONE if known is None else known.entry.condition

    def dropped(self) -> int:
        return self.harness.node.driver.counts["words_dropped"]


@pytest.fixture
def tier() -> Iterator[Tier]:
    tier = Tier()
    with tier.harness:
        yield tier
        assert tier.harness.node.peers is not None
        tier.harness.node.peers.close()
    for peer in tier.peers:
        peer.close()


def test_two_agreeing_peers_are_believed_until_discovery_sends_the_list(tier: Tier) -> None:
    """Without peers, discovery told the last sidecars of a mass restart 8 s late that a zone was back and
    cold, and all of its 30 servers were overloaded."""
    ask = decode(tier.peers[0].recv(MAX_DATAGRAM_BYTES))
    assert (ask.kind, ask.version) == (ASK, 1)
    tier.report(GONE, 0)
    tier.report(GONE, 0)
    assert tier.condition() == READY, "one peer does not suffice, even if it reports twice"
    tier.report(DRAINING, 1)
    assert tier.condition() == READY, "two peers that report different conditions do not agree"
    tier.report(GONE, 1)
    assert tier.condition() == GONE
    born = now_ms()
    tier.report(READY, 0, born)
    tier.report(READY, 1, born)
    known = tier.harness.node.driver.balancer.registry.by_id[upstream_number("s-1")]
    assert known.entry.condition == READY and known.warm_at > known.entry.started_at > 0, (
        "the upstream is back, and cold"
    )
    watch = accept_watch(tier.harness)
    send_list_line(watch, '{"seq":1,"hosts":[]}')
    tier.harness.run_until(lambda: tier.harness.node.peers and tier.harness.node.peers.ever_told)
    known = tier.harness.node.driver.balancer.registry.by_id[upstream_number("s-1")]
    assert known.entry.started_at == 0, "discovery tells of no change, so the peers' reports are taken back"
    tier.report(GONE, 0)
    tier.report(GONE, 1)
    assert tier.condition() == READY, "peers are not believed once discovery has sent the list"


def test_asks_are_answered_with_changes_at_a_limited_rate_after_discoverys_list(
    tier: Tier,
) -> None:
    tier.peers[1].setblocking(False)
    tier.send(encode(ASK, 1, now_ms()), 1)
    with pytest.raises(BlockingIOError):
        tier.peers[1].recv(MAX_DATAGRAM_BYTES)
    watch = accept_watch(tier.harness)
    send_list_line(
        watch, '{"seq":5,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"DRAINING"}]}'
    )
    tier.harness.run_until(lambda: tier.condition() == DRAINING)
    for _ in range(50):  # more than are answered
        tier.send(encode(ASK, 1, now_ms()), 1)
    answers = []
    while True:
        try:
            answers.append(decode(tier.peers[1].recv(MAX_DATAGRAM_BYTES)))
        except BlockingIOError:
            break
    assert 0 < len(answers) < 10
    assert [(answer.kind, answer.version, answer.states) for answer in answers[:1]] == [
        (TELL, 5, [UpstreamState(KEY, DRAINING, 0)])
    ]


def test_peers_reports_do_not_open_an_upstream_that_drains_in_the_known_list(tier: Tier) -> None:
    line = {"host": "s-1", "dial": "127.0.0.1:1", "site": "a", "health": "DRAINING"}
    tier.harness.node.upstream_pool.apply_listings([Listing(1, [line])])
    for peer in (0, 1):
        tier.report(READY, peer, now_ms())
    assert tier.condition() == DRAINING
    born = now_ms()
    for peer in (0, 1):
        tier.report(READY, peer, born)
    assert tier.condition() == DRAINING and tier.harness.node.driver.counts["words_heard"]


def test_only_some_sidecars_of_a_large_tier_answer_an_ask(tier: Tier) -> None:
    """When a tenth of 200 sidecars restarted, each ask was answered by 180, in several datagrams each."""
    peers = tier.harness.node.peers
    assert peers is not None
    peers.discovery_live, peers.peer_addresses = True, frozenset(("10.3.0.1", port) for port in range(1, 231))
    recipients: list[object] = []
    peers.send = lambda data, address: recipients.append(address)  # type: ignore[method-assign, assignment]
    tier.harness.node.upstreams.changed_after = lambda version: [(1 << 40, DRAINING, 0)]  # type: ignore[method-assign]
    for port in range(1, 231):
        peers.handle_datagram(encode(ASK, 1, now_ms()), ("10.3.0.1", port))
    assert 10 < len(recipients) < 50


def test_truncated_corrupt_unsolicited_and_oversized_datagrams_are_dropped_and_counted(tier: Tier) -> None:
    token, peers = tier.token(), tier.harness.node.peers
    assert peers is not None
    peers.sent_asks[5] = tier.harness.node.clock() - 3 * SECOND
    valid = encode(TELL, 7, token, [UpstreamState(KEY, GONE, 0)])
    invalid = [
        valid[:-1], valid[:10], b"", valid[:20] + b"\xff" + valid[21:], valid + bytes(MAX_DATAGRAM_BYTES),
        b"x" * len(valid), encode(TELL, 7, 5, [UpstreamState(KEY, GONE, 0)]),
        encode(TELL, 7, token ^ 1, [UpstreamState(KEY, GONE, 0)]),
        encode(TELL, 7, token, [UpstreamState(KEY, 9, 0)]),
        encode(3, 7, token, [UpstreamState(KEY, GONE, 0)]),
    ]  # fmt: skip
    for data in invalid:
        for peer in (0, 1):
            tier.send(data, peer)
    assert tier.dropped() == 2 * len(invalid)
    tier.report(GONE, 2)
    assert tier.dropped() == 2 * len(invalid) + 1, "the third socket is not a configured peer"
    tier.report(GONE, 0)
    assert tier.condition() == READY


def test_a_long_answer_is_split_into_datagrams_that_can_each_be_read() -> None:
    records = [UpstreamState(n, READY, n * 1000) for n in range(3 * MAX_RECORDS + 1)]
    parts = list(encode_tells(9, 5, records))
    assert len(parts) == 4 and all(len(part) <= MAX_DATAGRAM_BYTES for part in parts)
    assert [record for part in parts for record in decode(part).states] == records


def test_records_that_peers_do_not_agree_on_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """One peer could send ever new ones while discovery was out of reach, and all were kept."""
    monkeypatch.setattr(peer_module, "MAX_UNAGREED_RECORDS", 10)
    peers = Tier().harness.node.peers
    assert peers is not None
    peers.handle_report(
        Message(TELL, 1, 0, [UpstreamState(number, GONE, 0) for number in range(50)]), ("", 1)
    )
    assert len(peers.senders_by_record) == 10
