"""The state machines, fed bytes: no socket here."""

import json

import pytest

from maddercart import interface as i
from maddercart.http.application import ApplicationSide, Unreadable
from maddercart.http.upstream import Malformed, UpstreamSide
from maddercart.http.watch import NoList, WatchFailed, WatchSide
from maddercart.messages.query import UnfitQuery, read_query
from maddercart.messages.report import read_report
from maddercart.messages.upstreams import Listing
from maddercart.sidecar.upstreams import Upstreams, number_of
from maddercart.translation import SettingsError, balancer_arguments
from maddercart.wirehost.settings import read_settings
from tests.helpers import answer, host, request

OFFERINGS = {"look": 0, "post": 1}
LONG, CHUNKED = b"Content-Length: 5", b"Transfer-Encoding: chunked"


def in_parts(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


# -- the application's side


@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_requests_come_out_whole_however_the_bytes_come(size: int) -> None:
    side, got = ApplicationSide(), []
    for part in in_parts(request("post", body="b" * 300) + request(), size):
        side.feed(part)
        while (one := side.next_request()) is not None:
            got.append(one)
            assert side.answer(200, [(b"Content-Length", b"2")], b"ok", False).endswith(b"ok")
    assert [(one.method, one.target, one.body) for one in got] == [
        (b"POST", b"/post?sid=7", b"b" * 300), (b"GET", b"/look?sid=7", b"")
    ]  # fmt: skip
    assert (b"Idempotency-Key", b"k1") in got[0].headers, "names stay as they were written"


def test_a_pipelined_request_waits_for_the_answer_before_it() -> None:
    side = ApplicationSide()
    side.feed(request() + request("post", body="x"))
    assert side.next_request() is not None and side.next_request() is None and side.held
    side.answer(200, [(b"Content-Length", b"0")], b"", False)
    assert (second := side.next_request()) is not None and second.method == b"POST"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /post HTTP/1.1\r\nHost: a\r\n\r\n", 411),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65_537, 413),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 20 + b"\r\n\r\n", 413),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", 400),
        (b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", 400),
        # A request may be hidden in the body: it was passed on as one of its own.
        (b"POST /p HTTP/1.1\r\nHost: a\r\n" + LONG + b"\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n", 400),
        (b"POST /p HTTP/1.1\r\nHost: a\r\n" + CHUNKED + b"\r\n" + LONG + b"\r\n\r\n0\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 20_000, 431),
    ],
)
def test_what_is_no_request_is_told_so_and_the_connection_ends(data: bytes, status: int) -> None:
    side = ApplicationSide()
    side.feed(data)
    with pytest.raises(Unreadable) as caught:
        while side.next_request() is None:
            pass
    assert caught.value.status == status
    assert f"HTTP/1.1 {status}".encode() in side.answer(status, [(b"Content-Length", b"0")], b"", True)
    assert side.closing


def test_a_client_that_waits_to_be_asked_for_its_body_is_asked() -> None:
    side = ApplicationSide()
    head, body = request("post", body="abc", more="Expect: 100-continue\r\n").split(b"\r\n\r\n")
    side.feed(head + b"\r\n\r\n")
    assert side.next_request() is None
    assert side.go_on().startswith(b"HTTP/1.1 100") and side.go_on() == b""
    side.feed(body)
    assert (got := side.next_request()) is not None and got.body == b"abc"


def test_a_close_that_was_asked_for_or_is_wanted_is_said() -> None:
    for more, close in (("Connection: close\r\n", False), ("", True)):
        side = ApplicationSide()
        side.feed(request(more=more))
        assert side.next_request()
        assert b"close" in side.answer(200, [(b"Content-Length", b"0")], b"", close).lower()
        assert side.closing
    side = ApplicationSide()
    side.feed(b"HEAD /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    assert side.next_request()
    assert side.answer(200, [(b"Content-Length", b"6")], b"ready\n", False).endswith(b"\r\n\r\n")


# -- queries


def read(data: bytes) -> tuple[int, int]:
    side = ApplicationSide()
    side.feed(data)
    one = side.next_request()
    assert one is not None
    query = read_query(*one, OFFERINGS)
    return query.offering, query.remaining


def test_a_query_is_read_once_and_goes_on_unchanged() -> None:
    assert read(request(expires="480m")) == (0, 480 * i.MILLISECOND)
    assert read(request("post", expires="1500u")) == (1, 1500 * 1000)
    side = ApplicationSide()
    side.feed(request("post", body="abc", more="X-Props: a=1\r\nConnection: keep-alive\r\n", trace="t1"))
    one = side.next_request()
    assert one is not None
    query = read_query(*one, OFFERINGS)
    passed = query.headers_for(250 * i.MILLISECOND)
    assert (b"X-Trace-Id", b"t1") in passed and (b"Idempotency-Key", b"k1") in passed
    assert (b"X-Props", b"a=1") in passed and (b"X-Expires-In", b"250000u") in passed
    assert sum(name.lower() in (b"x-expires-in", b"content-length") for name, _ in passed) == 2
    assert all(name.lower() != b"connection" for name, _ in passed)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request().replace(b"/look", b"/other"), 404),
        (request().replace(b"GET /look?sid=7", b"GET *"), 404),
        (request().replace(b"Qos: look", b"Qos: post"), 400),
        (request().replace(b"Qos: look", b"Qos: \xff"), 400),
        (request(trace="t1").replace(b"X-Trace-Id: t1\r\n", b""), 400),
        (request(more="X-Trace-Id: t2\r\n"), 400),
        (request(more="x-expires-in: 900m\r\n"), 400),
        (request().replace(b"X-Expires-In: 400m\r\n", b""), 400),
        *((request(expires=bad), 400) for bad in ("soon", "400", "4e2m", "-5m", "9" * 20 + "m")),
        (request(expires="0m"), 408),
        (request().replace(b"GET", b"PUT"), 405),
    ],
)
def test_a_request_that_is_no_query_is_the_clients_fault_and_no_bounce(data: bytes, status: int) -> None:
    """A failure that looks like a bounce (429, 503) would promise that a retry is harmless."""
    with pytest.raises(UnfitQuery) as caught:
        read(data)
    assert caught.value.status == status and status not in (429, 503)


# -- the upstream's side


@pytest.mark.parametrize("size", [1, 5, 100_000])
@pytest.mark.parametrize(
    "data", [answer(), b"HTTP/1.1 100 x\r\n\r\n" + answer(),
             b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwe\r\n2\r\nll\r\n0\r\n\r\n"]
)  # fmt: skip
def test_an_answer_comes_out_whole_and_its_connection_serves_again(data: bytes, size: int) -> None:
    side = UpstreamSide(65_536)
    for _ in range(2):
        assert side.request(b"GET", b"/look", [(b"Host", b"a")], b"").startswith(b"GET /look HTTP/1.1\r\n")
        got = [whole for part in in_parts(data, size) if (whole := side.feed(part)) is not None]
        assert [(one.status, one.body) for one in got] == [(200, b"well")]
        assert side.reuse()


@pytest.mark.parametrize(
    "data",
    [answer(more="Connection: close\r\n"), answer() + b"HTTP/1.1 200 stray", b"HTTP/1.0 200 x\r\n\r\nwell"],
)
def test_a_connection_that_is_at_its_end_does_not_serve_again(data: bytes) -> None:
    side = UpstreamSide(65_536)
    side.request(b"GET", b"/look", [(b"Host", b"a")], b"")
    whole = side.feed(data) or side.feed(b"")
    assert whole is not None and whole.body == b"well" and not side.reuse()


@pytest.mark.parametrize(
    "data", [b"SSH-2.0-x\r\n\r\n", b"HTTP/1.1 200 x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
             b"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n",
             b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 70_000,
             b"HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n", b"HTTP/1.1 200 x\r\nX: " + b"x" * 99_000]
)  # fmt: skip
def test_what_is_no_answer_or_over_the_limit_is_malformed(data: bytes) -> None:
    side = UpstreamSide(65_536)
    side.request(b"GET", b"/look", [(b"Host", b"a")], b"")
    with pytest.raises(Malformed):
        side.feed(data)


def test_an_answer_cut_short_is_none() -> None:
    for data in (b"", b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf"):
        side = UpstreamSide(65_536)
        side.request(b"GET", b"/look", [(b"Host", b"a")], b"")
        assert not data or side.feed(data) is None
        with pytest.raises(Malformed):
            side.feed(b"")


def test_a_report_is_read_and_what_is_odd_in_it_passed_over() -> None:
    assert read_report("TEXT inflight=7, queue=2, util=0.61") == i.Report(7, 2, -1, -1)
    assert read_report("TEXT latency_ms=1.5,qps=20") == i.Report(-1, -1, 1_500_000, 20)
    assert read_report("TEXT avg_ms=2, active=1, rps=nan, waiting=-4") == i.Report(1, -1, 2_000_000, -1)
    for text in ("", "TEXT", "TEXT queue", "TEXT queue=x", "JSON {}", "TEXT util=0.5", "TEXT queue=1e400"):
        assert read_report(text) is None


# -- discovery


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("size", [1, 3, 100_000])
def test_lines_of_a_watch_come_out_whole_also_where_chunks_cut_them(size: int) -> None:
    side = WatchSide("d:1")
    side.request("/api/targets?watch=1&after=1")
    data = HEAD + chunk(b'{"a') + chunk(b'":1}\n\n{"b"') + chunk(b":2}\n")
    lines = [line for part in in_parts(data, size) for line in side.feed(part)]
    assert lines == [b'{"a":1}', b'{"b":2}']


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_lists_that_come_indented_or_share_a_line_are_read(size: int) -> None:
    """On roll+mass the new discovery's lists came over many lines; none was read, and the sidecars went on by
    the list before the release."""
    told = [{"seq": n, "hosts": [host('s-"{[\\'), host("é\n}")]} for n in range(3)]
    text = json.dumps(told[0], indent=2) + "\n\n" + json.dumps(told[1]) + json.dumps(told[2], indent=1)
    for data in (answer(body=text), HEAD + chunk(text[:99].encode()) + chunk(text[99:].encode())):
        side = WatchSide("d:1")
        side.request("/api/targets?watch=1&after=1")
        values = [value for part in in_parts(data, size) for value in side.feed(part)]
        assert [json.loads(value) for value in values] == told


@pytest.mark.parametrize("text", ["nonsense", '{"a":1}]', '"{}"', "7\n", '{"seq":1}x'])
def test_what_is_neither_object_nor_blank_is_no_list(text: str) -> None:
    side = WatchSide("d:1")
    side.request("/api/targets?watch=1&after=1")
    with pytest.raises(NoList):
        side.feed(HEAD + chunk(text.encode()))


@pytest.mark.parametrize(
    "data", [answer(503), b"nonsense\r\n\r\n", HEAD + chunk(b"x" * 5_000_000), HEAD + b"zz\r\n"]
)
def test_another_answer_of_discovery_is_a_failure(data: bytes) -> None:
    side = WatchSide("d:1")
    side.request("/api/targets?watch=1&after=1")
    with pytest.raises(WatchFailed):
        side.feed(data)


def test_a_watch_may_follow_the_whole_list_on_one_connection() -> None:
    side = WatchSide("d:1")
    side.request("/api/targets")
    assert side.feed(answer(body='{"seq":1}')) == [b'{"seq":1}'] and side.ended
    assert b"watch=1" in side.request("/api/targets?watch=1&after=1") and not side.ended


def test_a_list_entry_that_cannot_be_read_costs_no_other(caplog: pytest.LogCaptureFixture) -> None:
    upstreams = Upstreams(lambda: 1, ["a", "b"], ["m"])
    odd: list[object] = [
        host("x", health="DREAMING"), host("x", site="moon"), host("x", dial="nowhere"), {"host": 7}, "x",
        host("x", dial="a.name:80"), host("x", dial="127.0.0.1:99999"),
    ]  # fmt: skip
    lines = [*odd, host("s-1", **{"class": "unheard of", "colour": "red"})]
    for _ in range(2):
        entries = upstreams.learn(Listing(seq=1, hosts=lines, whole=True))
        assert [entry.upstream for entry in entries] == [number_of("s-1")]
    assert len(caplog.records) == len(odd), "each reason once"


def test_numbers_of_upstreams_are_alike_everywhere() -> None:
    """Own sets and the cold ring rest on them: by order of arrival, cold upstreams would be overfilled."""
    assert number_of("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({number_of(f"s-{n}") for n in range(5000)}) == 5000


# -- settings


TEXT = """discovery=ask
zones=a,b
kinds=
limits.most_dispatches=4
limits.cancel=true
feedback.fields=avg_ms,rps,waiting
offerings.count=1
offerings.0.semantics=guarded
offerings.0.agreed_time=0.8
parties.count=0
rules.cold_from=0.13
rules.ramp_time=24.0
rules.fall_multiple=3.0
rules.overload_for=1.0
"""


def test_the_wires_settings_become_the_arguments_of_a_balancer() -> None:
    made = balancer_arguments(read_settings(TEXT))
    assert balancer_arguments(read_settings(TEXT + "parties=\n")) == made, "no parties are an empty line"
    assert made["offerings"] == [i.Offering(i.LABELLED, i.EVERYWHERE, 0, 800 * i.MILLISECOND, 1.0, 0.0)]
    assert made["place"] == i.Place(0, 1, 0, 2) and made["cold"].ramp == 24 * i.SECOND
    assert made["permits"].cancel and made["permits"].follow and not made["permits"].probes


@pytest.mark.parametrize(
    ("old", "new"),
    [("guarded", "maybe"), ("0.8", "soon"), ("0.8", "nan"), ("=4", "=4.5"), ("=true", "=perhaps"),
     ("offerings.0.agreed_time=0.8\n", ""), ("count=1", "count=2"), ("count=1", "count=x")],
)  # fmt: skip
def test_a_setting_that_cannot_be_read_is_an_error(old: str, new: str) -> None:
    with pytest.raises(SettingsError):
        balancer_arguments(read_settings(TEXT.replace(old, new)))
