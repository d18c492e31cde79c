"""What counts as told, and that nothing is written to an upstream against it. One case each, on sockets;
`test_told_plays.py` plays generated ones."""

import json
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from maddercart import interface as i
from maddercart.interface import MILLISECOND as MS
from maddercart.interface import SECOND
from maddercart.messages.upstreams import Listing
from maddercart.net import sockets
from maddercart.net.loop import Wait
from maddercart.sidecar import dispatches
from maddercart.sidecar.upstreams import number_of
from tests.helpers import Desk, Host, answer, config, entry, host, offering
from tests.test_sidecar import tell, watched


class Late:
    """Connections to upstreams come up only when it is said."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.held, self.waiting = True, 0
        patch.setattr(dispatches, "connect", self.connect)

    def connect(self, loop: Any, sock: socket.socket, to: tuple[str, int], until: int) -> Iterator[Any]:
        self.waiting += 1
        up = yield from sockets.connect(loop, sock, to, until)
        while self.held:
            yield Wait(until=loop.clock() + MS)
        return up


@pytest.fixture
def late(monkeypatch: pytest.MonkeyPatch) -> Late:
    return Late(monkeypatch)


def change(desk: Desk, seq: int, *names: str, **more: Any) -> str:
    lines = [host(name, desk.dials[int(name[2:])], **more) for name in names]
    return json.dumps({"seq": seq, "whole": False, "hosts": lines})


def untouched(desk: Desk, ear: int) -> bool:
    """Nothing of a query was written to it, whether or not a connection came up."""
    desk.ears[ear].setblocking(False)
    try:
        sock, _ = desk.ears[ear].accept()
    except BlockingIOError:
        return True
    desk.opened.append(sock)
    sock.setblocking(False)
    try:
        return not sock.recv(1)
    except ConnectionError:
        return True
    except BlockingIOError:
        return True


@pytest.mark.parametrize("how", ["DRAINING", "DELETED", "moved", "unreadable"])
@pytest.mark.parametrize("offering", ["look", "post", "once"])
def test_a_drain_told_while_the_connection_comes_up_sends_the_query_elsewhere(
    late: Late, how: str, offering: str
) -> None:
    """The first byte went out up to the connect timeout, 250 ms, after the choice, whatever was told between:
    past a grace of 50 ms. The query never ran there, so that any offering may go elsewhere."""
    with Desk(upstreams=2) as desk:
        watch, client = watched(desk), desk.ask(offering)
        desk.node.dispatcher.connect_timeout = SECOND
        desk.turn(lambda: late.waiting)
        (out,) = desk.node.decisions.out.values()
        first = int(desk.node.upstreams.names[out.upstream][2:])
        told = {
            "moved": {"dial": "127.0.0.1:1"}, "unreadable": {"health": "LEAVING"},
        }.get(how, {"health": how})  # fmt: skip
        line = host(f"s-{first}", desk.dials[first]) | told
        tell(watch, json.dumps({"seq": 2, "whole": False, "hosts": [line]}))
        desk.turn(lambda: desk.node.decisions.counts["withdrawn"])
        late.held = False
        second = desk.accept(1 - first)
        assert b"X-Trace-Id" in desk.read(second)
        second.sendall(answer())
        assert desk.reply(client) == 200 and untouched(desk, first)


def test_a_drain_that_is_written_but_not_read_yet_counts_before_the_first_byte(
    late: Late, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a long turn, with little of a core, the look at what discovery wrote is old."""
    monkeypatch.setattr(dispatches.Dispatcher, "LOOKED", -1)
    late.held = False
    with Desk() as desk:
        watch = watched(desk)
        seen: list[bool] = []
        news = desk.node.dispatcher.news

        def told_now() -> bool:
            if not seen:
                tell(watch, change(desk, 2, "s-0", health="DRAINING"))
                time.sleep(0.01)
            seen.append(news())
            return seen[-1]

        desk.node.dispatcher.news = told_now
        assert desk.reply(desk.ask()) == 503 and seen[0] and untouched(desk, 0)


def test_changes_of_one_read_are_learnt_before_anything_is_decided(late: Late) -> None:
    """A drain and the change that makes its successor ready: a held query went by the first alone."""
    with Desk(upstreams=2) as desk:
        watch = watched(desk)
        tell(watch, change(desk, 2, "s-1", health="DELETED"))
        desk.turn(lambda: len(desk.node.upstreams.ready) == 1)
        client = desk.ask()
        desk.turn(lambda: late.waiting)
        late.held = False
        both = change(desk, 3, "s-0", health="DRAINING") + "\n" + change(desk, 4, "s-1")
        tell(watch, both)
        second = desk.accept(1)
        desk.read(second)
        second.sendall(answer())
        assert desk.reply(client) == 200 and untouched(desk, 0)


def test_what_peers_told_and_discovery_tells_are_one_step(late: Late) -> None:
    """Taken back by a step of its own, it let held queries out by the old word."""
    with Desk(upstreams=2) as desk:
        watch = watched(desk)
        known = desk.node.upstreams.entries[number_of("s-0")]
        desk.node.backing.hear([known._replace(condition=2)])
        assert not desk.node.upstreams.may_send(known.upstream, ("127.0.0.1", 1))
        made: list[int] = []
        learn = desk.node.decisions.balancer.learn

        def noted(now: int, entries: Any, whole: bool) -> None:
            learn(now, entries, whole)
            made.append(len(desk.node.decisions.out))

        desk.node.decisions.balancer.learn = noted  # type: ignore[method-assign]
        settle: list[int] = []
        was = desk.node.decisions.settle
        desk.node.decisions.settle = lambda: (settle.append(len(made)), was())[1]  # type: ignore[method-assign]
        tell(watch, change(desk, 2, "s-0", health="DRAINING"))
        desk.turn(lambda: len(made) == 2)
        assert 1 not in settle and 2 in settle


def test_a_watch_that_is_silent_leaves_time_for_two_calls() -> None:
    """What it misses counts as told 6 s after its last line; 5 s of silence and 3 s for a call were more."""
    from maddercart.policy.balancer import Balancer
    from maddercart.sidecar.discovery import ANSWER_WITHIN, SILENCE

    pause = int(1.5 * Balancer.FOLLOW_FIRST)
    assert 2 * SECOND < SILENCE and SILENCE + pause + ANSWER_WITHIN < 6 * SECOND


def test_a_list_without_end_does_not_pass_for_news(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("maddercart.sidecar.discovery.LIST_MOST", 100 * MS)
    with Desk() as desk:
        watch = watched(desk)
        watch.sendall(b"8\r\n" + b'{"seq":2' + b"\r\n")
        desk.turn_for(0.05)
        watch.sendall(b"1\r\n,\r\n")
        assert desk.read(watch) == b"", "given up, though something came"
        assert desk.accept_from(desk.discovery)


def moving(desk: Desk) -> socket.socket:
    other = socket.create_server(("127.0.0.1", 0))
    desk.opened.append(other)
    desk.config |= {"discovery": "{}:{}".format(*other.getsockname())}
    desk.node.renew()
    return other


def test_the_old_watch_counts_until_the_new_service_has_spoken() -> None:
    """It was ended first, and for up to 3 s nothing was heard of either."""
    with Desk(upstreams=2) as desk:
        old = watched(desk)
        other = moving(desk)
        new = desk.accept_from(other)
        desk.read(new)
        tell(old, change(desk, 2, "s-0", health="DRAINING"))
        desk.turn(lambda: number_of("s-0") not in desk.node.upstreams.ready)
        new.close()
        again = desk.accept_from(other)
        assert desk.read(again).startswith(b"GET /api/targets HTTP"), "still the whole list"
        whole = {"seq": 9, "whole": True, "hosts": [host("s-1", desk.dials[1])]}
        again.sendall(answer(body=json.dumps(whole, indent=1)))
        assert b"after=9 " in desk.read(again) and desk.read(old) == b""
        assert desk.node.upstreams.ready == {number_of("s-1")}


def test_an_old_watch_that_ends_during_a_move_is_not_asked_for_again() -> None:
    with Desk() as desk:
        old = watched(desk)
        other = moving(desk)
        new = desk.accept_from(other)
        old.close()
        desk.turn(lambda: desk.node.discovery.former is None)
        assert desk.node.discovery.following and desk.node.discovery.current is not None
        new.close()
        assert desk.accept_from(other), "the new service is asked again"


# -- where lists are pushed


def pushed(**more: Any) -> dict[str, Any]:
    settings = json.loads(config([]))["settings"]
    return {"settings": settings | {"discovery": "push"} | more}


def test_where_lists_are_pushed_nothing_is_sent_before_discoverys_first_word() -> None:
    """What the agent has counts as told from the first moment: a new process went by the list known."""
    with Desk(upstreams=2, **pushed()) as desk:
        assert not desk.node.backing.ready()
        client = desk.ask()
        watch = watched(desk)
        tell(watch, change(desk, 2, "s-0", health="DRAINING"))
        second = desk.accept(1)
        desk.read(second)
        second.sendall(answer())
        assert desk.reply(client) == 200 and untouched(desk, 0) and desk.node.backing.ready()


def test_without_a_first_word_it_bounces_and_goes_by_the_known_list_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery that is down must not keep a start from being ready within 30 s."""
    monkeypatch.setattr("maddercart.sidecar.node.WITHOUT_WORD", SECOND // 2)
    with Desk(**pushed()) as desk:
        desk.discovery.close()
        assert desk.reply(desk.ask()) == 503 and untouched(desk, 0)
        desk.turn(desk.node.backing.ready)
        client = desk.ask()
        upstream = desk.accept()
        desk.read(upstream)
        upstream.sendall(answer())
        assert desk.reply(client) == 200


def test_no_cap_on_upstreams_or_peers_below_a_thousand() -> None:
    """All of 1,200 are replaced at once, twice, and each that went can still be told to who asks."""
    from maddercart.messages.words import tells

    with Desk() as desk:
        known = desk.node.upstreams
        for seq in range(2, 5):
            hosts = [host(f"h{seq}-{n}", f"127.0.0.1:{n + 1}") for n in range(1200)]
            desk.node.backing.learn([Listing(seq, hosts, whole=True)])
            assert len(known.ready) == 1200
            assert len(known.changed_after(seq - 1)) >= (1200 if seq == 2 else 2400)
        assert len(desk.node.decisions.balancer.roster.by_id) == 1200
        assert len(list(tells(4, 0, [dispatch_word(*word) for word in known.changed_after(3)]))) > 100


def dispatch_word(number: int, condition: int, stamp_ms: int) -> Any:
    from maddercart.messages.words import Word, key_of

    return Word(key_of(number), condition, stamp_ms)


Say = Callable[[socket.socket], None]


@pytest.mark.parametrize("say", [
    lambda sock: sock.sendall(answer(503)), lambda sock: None, lambda sock: sock.close(),
    lambda sock: sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"seq":2,'),
    lambda sock: sock.sendall(answer(body='{"seq":2,"hosts":"none"}')),
])  # fmt: skip
def test_whatever_discovery_does_the_list_known_is_served_by_and_it_is_asked_again(
    say: Say, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("maddercart.sidecar.discovery.SILENCE", 100 * MS)
    with Desk() as desk:
        desk.node.discovery.within = 100 * MS
        client = desk.ask()
        sock = desk.accept_from(desk.discovery)
        desk.read(sock)
        say(sock)
        upstream = desk.accept()
        desk.read(upstream)
        upstream.sendall(answer())
        assert desk.reply(client) == 200
        assert desk.accept_from(desk.discovery)


def test_calls_that_fail_come_sooner_while_what_is_missed_is_about_to_count() -> None:
    """Three failed, and the next came 5.7 s later: past the 6 s after which a silent watch's news counts."""
    module = Host([entry(1)]).balancer
    now, due, pauses = 100 * SECOND, 106 * SECOND, []
    while now < due:
        module.list_failed(now, due - now)
        pauses.append(module.follow_at - now)
        now = module.follow_at
    assert 4 < len(pauses) < 30 and max(pauses[-3:]) < SECOND
    for _ in range(9):
        module.list_failed(now)
    assert SECOND // 2 <= module.follow_at - now <= 3 * SECOND // 2, "with no such time, by its own pauses"


def test_a_repeat_asks_its_window_once_more_before_its_first_byte() -> None:
    desk = Host([entry(1), entry(2)], offerings=[offering(i.LABELLED)])
    desk.take()
    desk.now += SECOND // 2
    desk.end(1, 0, i.RESET)
    assert desk.balancer.may_begin(desk.now, 1) and len(desk.out) == 1
    desk.now += SECOND // 2
    assert not desk.balancer.may_begin(desk.now, 1), "its window is over, and it may have run"
    made = desk.end(1, 1, i.MOOT)
    assert made[0][0] == "bounce", "its repeats are dropped everywhere"


@pytest.mark.parametrize(
    ("lines", "ready"),
    [
        ([host("s-0", "127.0.0.1:9"), host("s-1", "127.0.0.1:9")], {"s-0", "s-1"}),  # two at one address
        ([host("s-0", "nowhere"), host("s-1", "localhost:80")], set()),  # addresses that are none
        ([host("s-0", health="SERVING"), host("s-0", health="DRAINING")], {"s-1"}),  # twice: the last counts
        ([host("s-0", born_ms="x"), host("s-1", site="nowhere")], set()),
        ([7, None, {}, {"host": 3}, {"host": "s-9", "health": "SERVING"}], {"s-0", "s-1"}),
    ],
)
def test_odd_lines_cost_no_other_and_open_nothing(lines: list[Any], ready: set[str]) -> None:
    with Desk(upstreams=2) as desk:
        watch = watched(desk)
        tell(watch, json.dumps({"seq": 2, "whole": False, "hosts": lines}))
        desk.turn(lambda: desk.node.upstreams.version == 2)
        assert desk.node.upstreams.ready == {number_of(name) for name in ready}
        known = desk.node.decisions.balancer.roster.by_id.items()
        assert {n for n, one in known if one.entry.condition == i.READY} == desk.node.upstreams.ready


@pytest.mark.parametrize("known", [[], [host("s-7", "127.0.0.1:1"), host("s-8", "127.0.0.1:1")]])
def test_a_known_list_that_is_empty_or_out_of_date_is_mended_by_the_first_word(known: list[Any]) -> None:
    with Desk() as desk:
        desk.node.backing.learn([Listing(1, known, whole=True)])
        watch = watched(desk)
        lines = [host("s-7", health="DELETED"), host("s-8", health="DELETED"), host("s-0", desk.dials[0])]
        tell(watch, json.dumps({"seq": 2, "whole": False, "hosts": lines}))
        desk.turn(lambda: desk.node.upstreams.ready == {number_of("s-0")})
        client = desk.ask()
        upstream = desk.accept()
        desk.read(upstream)
        upstream.sendall(answer())
        assert desk.reply(client) == 200
