"""The HTTP state machines and the message parsers, without sockets."""

import json

import pytest

from maddercart import interface as i
from maddercart.balancer_settings import SettingsError, balancer_arguments
from maddercart.http.client import ClientProtocol, MalformedResponse
from maddercart.http.server import RequestError, ServerProtocol
from maddercart.http.watch import InvalidListing, WatchError, WatchProtocol
from maddercart.messages.query import InvalidQuery, parse_query
from maddercart.messages.report import parse_load_report
from maddercart.messages.upstreams import Listing
from maddercart.sidecar.upstreams import Upstreams, upstream_number
from maddercart.wirehost.settings import read_settings
from tests.helpers import WIRE_SETTINGS, http_response, list_line, request

OFFERINGS = {"look": 0, "post": 1}
LENGTH, CHUNKED = b"Content-Length: 5", b"Transfer-Encoding: chunked"


def split(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


# -- the server side: requests of the application


@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_requests_are_parsed_however_the_data_is_split(size: int) -> None:
    side, requests = ServerProtocol(), []
    for part in split(request("post", body="b" * 300) + request(), size):
        side.feed(part)
        while (parsed := side.next_request()) is not None:
            requests.append(parsed)
            assert side.serialize_response(200, [(b"Content-Length", b"2")], b"ok", False).endswith(b"ok")
    assert [(parsed.method, parsed.target, parsed.body) for parsed in requests] == [
        (b"POST", b"/post?sid=7", b"b" * 300), (b"GET", b"/look?sid=7", b"")
    ]  # fmt: skip
    assert (b"Idempotency-Key", b"k1") in requests[0].headers, "header names keep their spelling"


def test_a_pipelined_request_waits_for_the_response_to_the_previous_one() -> None:
    side = ServerProtocol()
    side.feed(request() + request("post", body="x"))
    assert side.next_request() is not None and side.next_request() is None and side.unparsed_bytes
    side.serialize_response(200, [(b"Content-Length", b"0")], b"", False)
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
        # Request smuggling: a request hidden in the body was forwarded as a separate one.
        (b"POST /p HTTP/1.1\r\nHost: a\r\n" + LENGTH + b"\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n", 400),
        (b"POST /p HTTP/1.1\r\nHost: a\r\n" + CHUNKED + b"\r\n" + LENGTH + b"\r\n\r\n0\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 20_000, 431),
    ],
)
def test_an_unacceptable_request_gets_an_error_response_and_the_connection_closes(
    data: bytes, status: int
) -> None:
    side = ServerProtocol()
    side.feed(data)
    with pytest.raises(RequestError) as caught:
        while side.next_request() is None:
            pass
    assert caught.value.status == status
    assert f"HTTP/1.1 {status}".encode() in side.serialize_response(
        status, [(b"Content-Length", b"0")], b"", True
    )
    assert side.closing


def test_a_client_that_expects_100_continue_gets_it_once() -> None:
    side = ServerProtocol()
    head, body = request("post", body="abc", extra_headers="Expect: 100-continue\r\n").split(b"\r\n\r\n")
    side.feed(head + b"\r\n\r\n")
    assert side.next_request() is None
    assert side.continue_response().startswith(b"HTTP/1.1 100") and side.continue_response() == b""
    side.feed(body)
    assert (parsed := side.next_request()) is not None and parsed.body == b"abc"


def test_a_response_announces_a_close_and_has_no_body_for_head() -> None:
    for more, close in (("Connection: close\r\n", False), ("", True)):
        side = ServerProtocol()
        side.feed(request(extra_headers=more))
        assert side.next_request()
        assert b"close" in side.serialize_response(200, [(b"Content-Length", b"0")], b"", close).lower()
        assert side.closing
    side = ServerProtocol()
    side.feed(b"HEAD /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    assert side.next_request()
    assert side.serialize_response(200, [(b"Content-Length", b"6")], b"ready\n", False).endswith(b"\r\n\r\n")


# -- queries


def parse(data: bytes) -> tuple[int, int]:
    """Returns the offering and the remaining time in nanoseconds."""
    side = ServerProtocol()
    side.feed(data)
    parsed = side.next_request()
    assert parsed is not None
    query = parse_query(*parsed, OFFERINGS)
    return query.offering, query.remaining


def test_a_query_is_parsed_and_its_headers_are_forwarded() -> None:
    assert parse(request(expires="480m")) == (0, 480 * i.MILLISECOND)
    assert parse(request("post", expires="1500u")) == (1, 1500 * 1000)
    side = ServerProtocol()
    side.feed(
        request("post", body="abc", extra_headers="X-Props: a=1\r\nConnection: keep-alive\r\n", trace="t1")
    )
    parsed = side.next_request()
    assert parsed is not None
    query = parse_query(*parsed, OFFERINGS)
    forwarded = query.headers_for(250 * i.MILLISECOND)
    assert (b"X-Trace-Id", b"t1") in forwarded and (b"Idempotency-Key", b"k1") in forwarded
    assert (b"X-Props", b"a=1") in forwarded and (b"X-Expires-In", b"250000u") in forwarded
    assert sum(name.lower() in (b"x-expires-in", b"content-length") for name, _ in forwarded) == 2
    assert all(name.lower() != b"connection" for name, _ in forwarded)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request().replace(b"/look", b"/other"), 404),
        (request().replace(b"GET /look?sid=7", b"GET *"), 404),
        (request().replace(b"Qos: look", b"Qos: post"), 400),
        (request().replace(b"Qos: look", b"Qos: \xff"), 400),
        (request(trace="t1").replace(b"X-Trace-Id: t1\r\n", b""), 400),
        (request(extra_headers="X-Trace-Id: t2\r\n"), 400),
        (request(extra_headers="x-expires-in: 900m\r\n"), 400),
        (request().replace(b"X-Expires-In: 400m\r\n", b""), 400),
        *((request(expires=bad), 400) for bad in ("soon", "400", "4e2m", "-5m", "9" * 20 + "m")),
        (request(expires="0m"), 408),
        (request().replace(b"GET", b"PUT"), 405),
    ],
)
def test_an_invalid_query_is_a_client_error_and_not_a_bounce(data: bytes, status: int) -> None:
    """Statuses 429 and 503 promise that the query had no effect and that a retry is harmless."""
    with pytest.raises(InvalidQuery) as caught:
        parse(data)
    assert caught.value.status == status and status not in (429, 503)


# -- the client side: responses of upstreams


@pytest.mark.parametrize("size", [1, 5, 100_000])
@pytest.mark.parametrize(
    "data", [http_response(), b"HTTP/1.1 100 x\r\n\r\n" + http_response(),
             b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwe\r\n2\r\nll\r\n0\r\n\r\n"]
)  # fmt: skip
def test_a_response_is_parsed_however_it_is_split_and_its_connection_is_reused(
    data: bytes, size: int
) -> None:
    side = ClientProtocol(65_536)
    for _ in range(2):
        assert side.serialize_request(b"GET", b"/look", [(b"Host", b"a")], b"").startswith(
            b"GET /look HTTP/1.1\r\n"
        )
        responses = [response for part in split(data, size) if (response := side.feed(part)) is not None]
        assert [(parsed.status, parsed.body) for parsed in responses] == [(200, b"well")]
        assert side.prepare_reuse()


@pytest.mark.parametrize(
    "data",
    [
        http_response(extra_headers="Connection: close\r\n"),
        http_response() + b"HTTP/1.1 200 stray",
        b"HTTP/1.0 200 x\r\n\r\nwell",
    ],
)
def test_a_connection_that_closes_or_has_stray_data_is_not_reused(data: bytes) -> None:
    side = ClientProtocol(65_536)
    side.serialize_request(b"GET", b"/look", [(b"Host", b"a")], b"")
    response = side.feed(data) or side.feed(b"")
    assert response is not None and response.body == b"well" and not side.prepare_reuse()


@pytest.mark.parametrize(
    "data", [b"SSH-2.0-x\r\n\r\n", b"HTTP/1.1 200 x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
             b"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n",
             b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 70_000,
             b"HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n", b"HTTP/1.1 200 x\r\nX: " + b"x" * 99_000]
)  # fmt: skip
def test_an_invalid_or_oversized_response_is_malformed(data: bytes) -> None:
    side = ClientProtocol(65_536)
    side.serialize_request(b"GET", b"/look", [(b"Host", b"a")], b"")
    with pytest.raises(MalformedResponse):
        side.feed(data)


def test_a_truncated_response_is_malformed() -> None:
    for data in (b"", b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf"):
        side = ClientProtocol(65_536)
        side.serialize_request(b"GET", b"/look", [(b"Host", b"a")], b"")
        assert not data or side.feed(data) is None
        with pytest.raises(MalformedResponse):
            side.feed(b"")


def test_a_load_report_is_parsed_and_its_invalid_parts_are_ignored() -> None:
    assert parse_load_report("TEXT inflight=7, queue=2, util=0.61") == i.Report(7, 2, -1, -1)
    assert parse_load_report("TEXT latency_ms=1.5,qps=20") == i.Report(-1, -1, 1_500_000, 20)
    assert parse_load_report("TEXT avg_ms=2, active=1, rps=nan, waiting=-4") == i.Report(1, -1, 2_000_000, -1)
    for text in ("", "TEXT", "TEXT queue", "TEXT queue=x", "JSON {}", "TEXT util=0.5", "TEXT queue=1e400"):
        assert parse_load_report(text) is None


# -- discovery


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("size", [1, 3, 100_000])
def test_values_of_a_watch_are_split_independently_of_chunks(size: int) -> None:
    side = WatchProtocol("d:1")
    side.serialize_request("/api/targets?watch=1&after=1")
    data = HEAD + chunk(b'{"a') + chunk(b'":1}\n\n{"b"') + chunk(b":2}\n")
    values = [value for part in split(data, size) for value in side.feed(part)]
    assert values == [b'{"a":1}', b'{"b":2}']


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_lists_that_are_indented_or_share_a_line_are_split(size: int) -> None:
    """Guards against lists that span several lines being ignored.

    After an update the discovery service sent indented JSON, and the sidecars kept using the previous list.
    """
    sent = [{"seq": n, "hosts": [list_line('s-"{[\\'), list_line("é\n}")]} for n in range(3)]
    text = json.dumps(sent[0], indent=2) + "\n\n" + json.dumps(sent[1]) + json.dumps(sent[2], indent=1)
    for data in (http_response(body=text), HEAD + chunk(text[:99].encode()) + chunk(text[99:].encode())):
        side = WatchProtocol("d:1")
        side.serialize_request("/api/targets?watch=1&after=1")
        values = [value for part in split(data, size) for value in side.feed(part)]
        assert [json.loads(value) for value in values] == sent


@pytest.mark.parametrize("text", ["nonsense", '{"a":1}]', '"{}"', "7\n", '{"seq":1}x'])
def test_data_that_is_neither_an_object_nor_whitespace_is_an_invalid_list(text: str) -> None:
    side = WatchProtocol("d:1")
    side.serialize_request("/api/targets?watch=1&after=1")
    with pytest.raises(InvalidListing):
        side.feed(HEAD + chunk(text.encode()))


@pytest.mark.parametrize(
    "data", [http_response(503), b"nonsense\r\n\r\n", HEAD + chunk(b"x" * 5_000_000), HEAD + b"zz\r\n"]
)
def test_any_other_response_of_discovery_fails_the_watch(data: bytes) -> None:
    side = WatchProtocol("d:1")
    side.serialize_request("/api/targets?watch=1&after=1")
    with pytest.raises(WatchError):
        side.feed(data)


def test_a_watch_may_follow_the_full_list_on_one_connection() -> None:
    side = WatchProtocol("d:1")
    side.serialize_request("/api/targets")
    assert side.feed(http_response(body='{"seq":1}')) == [b'{"seq":1}'] and side.response_complete
    assert b"watch=1" in side.serialize_request("/api/targets?watch=1&after=1") and not side.response_complete


def test_an_invalid_list_entry_does_not_affect_the_others(caplog: pytest.LogCaptureFixture) -> None:
    upstreams = Upstreams(lambda: 1, ["a", "b"], ["m"])
    invalid: list[object] = [
        list_line("x", health="DREAMING"), list_line("x", site="moon"), list_line("x", dial="nowhere"),
        {"host": 7}, "x", list_line("x", dial="a.name:80"), list_line("x", dial="127.0.0.1:99999"),
    ]  # fmt: skip
    lines = [*invalid, list_line("s-1", **{"class": "unheard of", "colour": "red"})]
    for _ in range(2):
        entries = upstreams.apply_listing(Listing(seq=1, hosts=lines, whole=True))
        assert [entry.upstream for entry in entries] == [upstream_number("s-1")]
    assert len(caplog.records) == len(invalid), "each reason is logged once"


def test_upstream_ids_are_the_same_in_all_sidecars() -> None:
    """Subsets and the ring of cold upstreams depend on the ids.

    Ids in order of arrival would differ between sidecars and overload cold upstreams.
    """
    assert upstream_number("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({upstream_number(f"s-{n}") for n in range(5000)}) == 5000


# -- settings


def test_the_simulators_settings_are_converted_to_balancer_arguments() -> None:
    arguments = balancer_arguments(read_settings(WIRE_SETTINGS))
    assert balancer_arguments(read_settings(WIRE_SETTINGS + "parties=\n")) == arguments, (
        "no parties: an empty line"
    )
    assert arguments["offerings"] == [i.Offering(i.LABELLED, i.EVERYWHERE, 0, 800 * i.MILLISECOND, 1.0, 0.0)]
    assert arguments["place"] == i.SidecarPosition(0, 1, 0, 2) and arguments["cold"].ramp_ns == 24 * i.SECOND
    assert (
        arguments["permits"].may_cancel
        and arguments["permits"].subscribes
        and not arguments["permits"].may_probe
    )


@pytest.mark.parametrize(
    ("old", "new"),
    [("guarded", "maybe"), ("0.8", "soon"), ("0.8", "nan"), ("=4", "=4.5"), ("=true", "=perhaps"),
     ("offerings.0.agreed_time=0.8\n", ""), ("count=1", "count=2"), ("count=1", "count=x")],
)  # fmt: skip
def test_an_invalid_setting_is_an_error(old: str, new: str) -> None:
    with pytest.raises(SettingsError):
        balancer_arguments(read_settings(WIRE_SETTINGS.replace(old, new)))
