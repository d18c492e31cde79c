"""What stands round a sidecar on the stand-in network: upstreams, discovery, clients. Each notes what it saw,
with the time, for `referee.py`; none knows what is allowed."""

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from maddercart.interface import MILLISECOND, SECOND
from maddercart.rig.network import Address, End, Network

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_EVERY = 2 * SECOND  # a watch's empty lines, while nothing changes


def address_of(dial: str) -> Address:
    host, _, port = dial.rpartition(":")
    return host, int(port)


class Requests:
    """Cuts what comes on one connection into requests: first line, headers, body."""

    def __init__(self) -> None:
        self.part = b""

    def feed(self, data: bytes) -> list[tuple[str, dict[str, str]]]:
        self.part += data
        found = []
        while b"\r\n\r\n" in self.part:
            head, _, rest = self.part.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            split = [line.partition(":") for line in lines]
            headers = {name.lower(): value.strip() for name, _, value in split}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                break
            self.part = rest[length:]
            found.append((first, headers))
        return found


# -- upstreams


@dataclass
class Sent:
    """A query's first byte, as it left the sidecar."""

    at: int
    trace: str
    host: str
    zone: str
    launched: int
    ran: bool = False


@dataclass
class Upstream:
    """A server; a successor may listen at the address of one that has gone."""

    host: str
    dial: str
    zone: str
    launched: int = 0  # Unix milliseconds
    answers: bool = True  # false: takes queries and says nothing
    health: str = "SERVING"

    def line(self) -> dict[str, Any]:
        return {
            "host": self.host, "dial": self.dial, "site": self.zone, "class": "m", "block": 0,
            "health": self.health, "share": 1.0, "born_ms": self.launched,
        }  # fmt: skip


class Working(End):
    """A connection to an upstream."""

    def __init__(self, network: Network, servers: "Servers", upstream: Upstream) -> None:
        super().__init__(network)
        self.servers, self.upstream, self.requests = servers, upstream, Requests()
        self.sent: Sent | None = None

    def wrote(self, data: bytes) -> None:
        if self.sent is None:
            head = data.decode("latin-1")
            trace = head.partition("X-Trace-Id: ")[2].partition("\r\n")[0]
            at = self.upstream
            self.sent = Sent(self.network.now, trace, at.host, at.zone, at.launched)
            self.servers.sent.append(self.sent)

    def came(self, data: bytes) -> None:
        for _ in self.requests.feed(data):
            self.work()

    def work(self) -> None:
        chance, sent = self.servers.chance.random(), self.sent
        assert sent is not None
        if self.upstream.health == "DELETED":
            return self.close(reset=True)
        if chance < self.servers.odd / 4:  # turned away
            return self.answer(503, "X-Never-Ran: 1\r\n")
        sent.ran = True
        if not self.upstream.answers or chance < self.servers.odd / 2:
            return None
        if chance < self.servers.odd * 3 / 4:
            return self.close(reset=True)
        status = 500 if chance < self.servers.odd else 200
        took = int(self.servers.chance.uniform(2, 60)) * MILLISECOND
        return self.network.after(took, lambda: self.answer(status))

    def answer(self, status: int, more: str = "") -> None:
        trace, self.sent = self.sent.trace if self.sent else "", None
        self.send(f"HTTP/1.1 {status} x\r\n{more}Content-Length: {len(trace)}\r\n\r\n{trace}".encode())


class Servers:
    def __init__(self, network: Network, chance: Random, odd: float) -> None:
        """`odd`: the share of queries that are turned away, reset, answered with an error, or not at all."""
        self.network, self.chance, self.odd = network, chance, odd
        self.all: dict[str, Upstream] = {}
        self.sent: list[Sent] = []

    def start(self, upstream: Upstream) -> Upstream:
        self.all[upstream.host] = upstream
        self.network.listening[address_of(upstream.dial)] = lambda: Working(self.network, self, upstream)
        return upstream


# -- discovery


class Calling(End):
    """A connection to discovery."""

    def __init__(self, network: Network, service: "Service") -> None:
        super().__init__(network)
        self.service, self.requests = service, Requests()
        self.watches = self.silent = False
        self.empty_at = 0

    def came(self, data: bytes) -> None:
        for first, _ in self.requests.feed(data):
            self.service.called(self, first.split(" ")[1])

    def chunk(self, data: bytes) -> None:
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def over(self) -> None:
        self.closed = True
        if self in self.service.open:
            self.service.open.remove(self)


@dataclass
class Told:
    """A version of the list as discovery has it, and when that was."""

    version: int
    at: int
    lines: list[dict[str, Any]]


class Service:
    """One discovery; several may share a history, each with versions of its own."""

    def __init__(
        self, network: Network, at: Address, history: list[Told], chance: Random, offset: int = 0
    ) -> None:
        self.network, self.at, self.history, self.chance = network, at, history, chance
        self.offset = offset  # of its versions
        self.open: list[Calling] = []
        self.fault = ""  # 503, reset, hang: what calls come to
        self.down = False
        self.calls: list[tuple[int, bool]] = []  # when, and whether it was answered
        self.written: list[tuple[int, int]] = []  # when, and up to which version of the history
        network.listening[at] = self.begin

    def begin(self) -> Calling:
        self.open.append(calling := Calling(self.network, self))
        return calling

    def version(self) -> int:
        return self.history[-1].version + self.offset

    def called(self, calling: Calling, target: str) -> None:
        answered = not self.fault and not self.down
        self.calls.append((self.network.now, answered))
        if self.down or self.fault == "reset":
            return calling.close(reset=True)
        if self.fault == "503":
            return calling.send(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        if self.fault == "hang":
            return None
        if "watch=1" not in target:
            body = self.text(self.whole())
            calling.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return self.wrote()
        after = int(target.partition("after=")[2]) - self.offset
        calling.watches = True
        calling.send(CHUNKED)
        if 0 <= after <= self.history[-1].version:
            changed = {line["host"]: line for told in self.history[after + 1 :] for line in told.lines}
            value = {"seq": self.version(), "whole": False, "hosts": list(changed.values())}
            calling.chunk(self.text(value) + b"\n")
        else:
            calling.chunk(self.text(self.whole()) + b"\n")
        self.wrote()
        return self.go_on(calling)

    def whole(self) -> dict[str, Any]:
        last = {line["host"]: line for told in self.history for line in told.lines}
        lines = [line for line in last.values() if line["health"] != "DELETED"]
        return {"seq": self.version(), "whole": True, "hosts": lines}

    def text(self, value: dict[str, Any]) -> bytes:
        return json.dumps(value, indent=self.chance.choice([None, None, 2])).encode()

    def wrote(self) -> None:
        self.written.append((self.network.now, self.history[-1].version))

    def changed(self) -> None:
        """The history has grown: who watches is written it."""
        told = self.history[-1]
        value = {"seq": self.version(), "whole": False, "hosts": told.lines}
        for calling in [calling for calling in self.open if calling.watches and not calling.silent]:
            calling.chunk(self.text(value) + b"\n")
            self.wrote()
            self.go_on(calling)

    def go_on(self, calling: Calling) -> None:
        calling.empty_at = due = self.network.now + EMPTY_EVERY

        def empty() -> None:
            if calling.empty_at == due and not (calling.closed or calling.silent or self.down):
                calling.chunk(b"\n")
                self.go_on(calling)

        self.network.at(due, empty)

    def fall_silent(self) -> None:
        """The watches that are open say nothing more, and stay open."""
        for calling in self.open:
            calling.silent = True

    def go_down(self) -> None:
        """Takes no new connection and ends those that are open."""
        self.down = True
        self.network.listening.pop(self.at, None)
        for calling in list(self.open):
            calling.close(reset=True)
        self.open.clear()

    def come_back(self) -> None:
        self.down = False
        self.network.listening[self.at] = self.begin


# -- clients


@dataclass
class Asked:
    """A query as its client knows it."""

    trace: str
    offering: str
    at: int
    stop: int  # its hard stop
    answers: list[tuple[int, int]] = field(default_factory=list)  # when, and with which status
    ended: int = 0  # its connection broke with no answer
    excused: bool = False  # the sidecar was killed while it held it


class Client(End):
    def __init__(self, network: Network, asked: Asked) -> None:
        super().__init__(network)
        self.asked, self.part = asked, b""

    def came(self, data: bytes) -> None:
        self.part += data
        head, _, body = self.part.partition(b"\r\n\r\n")
        if (at := head.lower().find(b"content-length: ")) >= 0:
            length = int(head[at + 16 :].split(b"\r\n")[0])
            if len(body) >= length:
                self.asked.answers.append((self.network.now, int(head.split(b" ")[1])))
                self.part = body[length:]
                self.close()

    def over(self) -> None:
        if not self.asked.answers:
            self.asked.ended = self.network.now


class Clients:
    def __init__(
        self, network: Network, to: Address, offerings: list[tuple[str, int]], chance: Random
    ) -> None:
        """`offerings`: names, and their hard stops in nanoseconds."""
        self.network, self.to, self.offerings, self.chance = network, to, offerings, chance
        self.asked: list[Asked] = []

    def ask(self) -> None:
        name, stop = self.chance.choice(self.offerings)
        now, trace = self.network.now, f"t{len(self.asked)}"
        asked = Asked(trace, name, now, now + stop)
        client = Client(self.network, asked)
        if not self.network.connect(self.to, client):
            return
        self.asked.append(asked)
        method, mark = ("GET", "") if name == "look" else ("POST", f"Idempotency-Key: {trace}\r\n")
        head = f"{method} /{name} HTTP/1.1\r\nHost: o\r\nX-Trace-Id: {trace}\r\nX-Qos: {name}\r\n"
        client.send(f"{head}X-Expires-In: {stop // MILLISECOND}m\r\n{mark}Content-Length: 0\r\n\r\n".encode())

    def go_on(self, every: int, until: int) -> None:
        """Comes about so often, at random."""

        def come() -> None:
            self.ask()
            if self.network.now < until:
                self.network.after(int(self.chance.expovariate(1.0) * every), come)

        come()
