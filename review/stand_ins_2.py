"""Stand-ins of the second review: discovery, upstreams, and the sidecar started by the deploy file's command.

Standard library only; every address is 127.0.0.1. Times in records are seconds of the monotonic clock, which
all processes of a machine share. `python stand_ins_2.py upstreams FILE` runs the upstreams that a JSON file
describes as a process of their own.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
now = time.monotonic


class CannotRunError(Exception):
    """The case can't be played here: exit code 2."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Messages:
    """Reads HTTP/1.1 messages with a Content-Length from a blocking socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""

    def next(self) -> tuple[str, dict[str, str], bytes, float] | None:
        """First line, headers in lower case, body and the time of the last byte; None at the end."""
        while True:
            head, found, rest = self.buffer.partition(b"\r\n\r\n")
            if found:
                first, *lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                length = int(headers.get("content-length", "0"))
                if len(rest) >= length:
                    self.buffer = rest[length:]
                    return first, headers, rest[:length], now()
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data


# -- upstreams


class Upstream:
    """One server: a request runs for its time, also if its connection ends meanwhile. A connection carries
    one request at a time. The body of an answer names the request and the server."""

    def __init__(self, terms: dict[str, Any], record: Any) -> None:
        self.name, self.terms, self.record = terms["name"], terms, record
        self.random, self.ended, self.socks = random.Random(terms["name"]), False, set[socket.socket]()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while not self.ended:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        messages = Messages(sock)
        try:
            while (message := messages.next()) is not None:
                self.answer(sock, message)
        except OSError:
            pass
        self.socks.discard(sock)
        sock.close()

    def answer(self, sock: socket.socket, message: tuple[str, dict[str, str], bytes, float]) -> None:
        first, headers, _, came_at = message
        trace = headers.get("x-trace-id", "")
        entry = {
            "at": came_at, "what": "run", "upstream": self.name, "id": trace,
            "expires_in": headers.get("x-expires-in"), "line": first,
        }  # fmt: skip
        self.record(entry)
        low, high = self.terms["work_s"]
        time.sleep(self.random.uniform(low, high))
        body = json.dumps({"answer_to": trace, "by": self.name}).encode() + b"\n"
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.ended:
            raise OSError("the server has ended")
        sock.sendall(answer)

    def end(self) -> None:
        """The process ends: its connections end with it, and new ones are refused."""
        self.ended = True
        self.record({"at": now(), "what": "server ends", "upstream": self.name})
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.socks):
            sock.shutdown(socket.SHUT_RDWR)


def run_upstreams(path: str) -> None:
    terms, lock = json.loads(Path(path).read_text()), threading.Lock()
    with Path(terms["record"]).open("a") as stream:

        def record(entry: dict[str, Any]) -> None:
            with lock:
                stream.write(json.dumps(entry) + "\n")
                stream.flush()

        servers = [Upstream(server, record) for server in terms["servers"]]
        print(json.dumps({server.name: server.port for server in servers}), flush=True)
        by_name = {server.name: server for server in servers}
        for line in sys.stdin:  # until the test ends
            by_name[line.strip()].end()


class Upstreams:
    """The process of the upstreams, and what it has recorded."""

    def __init__(self, folder: Path, servers: list[dict[str, Any]]) -> None:
        self.record_file = folder / "upstreams.record"
        self.record_file.write_text("")
        terms = folder / "upstreams.json"
        terms.write_text(json.dumps({"record": str(self.record_file), "servers": servers}))
        self.process = subprocess.Popen(
            [sys.executable, __file__, "upstreams", str(terms)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert self.process.stdin is not None and self.process.stdout is not None
        self.stdin = self.process.stdin
        line = self.process.stdout.readline()
        if not line:
            raise CannotRunError("the upstreams did not start")
        self.ports: dict[str, int] = json.loads(line)

    def end_server(self, name: str) -> None:
        self.stdin.write(name + "\n")
        self.stdin.flush()

    def entries(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.record_file.read_text().splitlines()]

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


# -- discovery


class Discovery:
    """Answers calls for the whole list, and watches; on a watch an empty line comes every 2 s.

    While it is down the watches have ended and calls are answered 503."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = {host["host"]: host for host in hosts}
        self.changes: list[list[dict[str, Any]]] = [[]]  # by version
        self.changed = threading.Condition()
        self.down = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def whole(self) -> dict[str, Any]:
        return {"seq": len(self.changes) - 1, "whole": True, "hosts": list(self.hosts.values())}

    def tell(self, *hosts: dict[str, Any]) -> None:
        with self.changed:
            self.changes.append(list(hosts))
            self.hosts.update({host["host"]: host for host in hosts})
            self.hosts = {name: host for name, host in self.hosts.items() if host["health"] != "DELETED"}
            self.changed.notify_all()

    def set_down(self, down: bool) -> None:
        with self.changed:
            self.down = down
            self.changed.notify_all()

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        messages = Messages(sock)
        try:
            while (message := messages.next()) is not None:
                if self.down:
                    sock.sendall(b"HTTP/1.1 503 down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    break
                if "watch=1" in message[0]:
                    self.watch(sock, int(message[0].split("after=")[1].split()[0]))
                else:
                    body = json.dumps(self.whole()).encode()
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except OSError:
            pass
        sock.close()

    def watch(self, sock: socket.socket, after: int) -> None:
        def chunk(data: bytes) -> None:
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))

        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            with self.changed:
                if not first and after == len(self.changes) - 1 and not self.down:
                    self.changed.wait(2.0)
                if self.down:
                    return
                told, newest = after, len(self.changes) - 1
                changed = {host["host"]: host for change in self.changes[told + 1 :] for host in change}
                after = newest
            if first or newest > told:
                chunk(
                    json.dumps({"seq": newest, "whole": False, "hosts": list(changed.values())}).encode()
                    + b"\n"
                )
            else:
                chunk(b"\n")
            first = False


def host_line(name: str, port: int, zone: str, health: str = "SERVING") -> dict[str, Any]:
    return {
        "host": name, "dial": f"127.0.0.1:{port}", "site": zone, "class": "fast-1c", "block": 1,
        "health": health, "share": 1.0, "born_ms": 0,
    }  # fmt: skip


# -- the sidecar

SETTINGS: dict[str, Any] = {
    "offerings": [
        {"name": "account-view", "semantics": "free", "group": "all", "window": 5.0, "agreed_time": 0.8,
         "hard_stop": 2.0, "earnings": 5.0, "tardy_earnings": 0.0, "stream": False},
        {"name": "repayment-post", "semantics": "guarded", "group": "zone", "window": 1.0,
         "agreed_time": 0.75, "hard_stop": 1.5, "earnings": 2.0, "tardy_earnings": 0.0, "stream": False},
    ],
    "limits": {"most_dispatches": 4, "cancel": True, "probing": False, "retry_after": True,
               "max_retry_after": 1.0, "connect_timeout": 0.25, "idle_close": 30.0, "may_tell": False,
               "max_streams": 1, "parallel_tries": True},
    "rules": {"ask_within": 10.0, "cold_from": 0.13, "fall_multiple": 3.0, "overload_for": 1.0,
              "ramp_time": 24.0, "stop_sending_within": 1.0, "grace_to_answer": 0.02},
    "charges": {"cross_zone": 0.22}, "feedback": {"fields": [], "via": "none"}, "discovery": "ask",
    "self_index": 0, "group_size": 2, "zone": 0, "zones": ["bangna", "chaengwattana"],
    "kinds": ["fast-1c", "slow-1c"], "weight_kind": "none", "parties": [],
}  # fmt: skip


class Sidecar:
    """One sidecar, started with `run` of the deploy file from the root of the repository."""

    def __init__(
        self, folder: Path, discovery: Discovery, settings: dict[str, Any] = SETTINGS, sockets: int = 512,
        memory_mb: int = 192,
        name: str = "n0",
    ) -> None:  # fmt: skip
        self.port, self.name = free_port(), name
        self.config_file, self.log_file = folder / f"{name}.json", folder / f"{name}.log"
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "seed": f"8c1f30d27a5b{random.getrandbits(16):04x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(), "settings": settings,
        }  # fmt: skip
        self.write_config()
        with (ROOT / "deploy/balancer.toml").open("rb") as stream:
            command = tomllib.load(stream)["run"]
        temporary = folder / f"{name}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = os.environ | {
            "RELAY_NAME": name, "RELAY_LISTEN": str(self.config["listen"]),
            "RELAY_DISCOVERY": discovery.address, "RELAY_CONFIG": str(self.config_file),
            "TMPDIR": str(temporary),
        }  # fmt: skip
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stderr=log, stdout=log
            )

    def write_config(self) -> None:
        self.config_file.write_text(json.dumps(self.config))

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=20)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def wait_until_ready(self) -> None:
        until = now() + 30
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"the sidecar ended with {self.process.returncode}")
            try:
                with self.connect() as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRunError("the sidecar was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


SEMANTICS = {"account-view": "free", "repayment-post": "guarded"}


def request_bytes(name: str, trace: str, expires_ms: int, body: bytes = b"", semantics: str = "") -> bytes:
    """A request in the form of the protocol page: GET for a class that is safe to repeat, otherwise POST,
    with a key where the class is keyed."""
    semantics = semantics or SEMANTICS[name]
    method, keyed = "GET" if semantics == "free" else "POST", semantics == "guarded"
    lines = (
        f"{method} /{name}?sid={trace[-8:]} HTTP/1.1", "Host: origin.svc", f"X-Trace-Id: {trace}",
        f"X-Qos: {name}", f"X-Expires-In: {expires_ms}m",
        *((f"Idempotency-Key: k{trace}",) if keyed else ()),
        *((f"Content-Length: {len(body)}",) if method == "POST" else ()),
    )  # fmt: skip
    return "\r\n".join((*lines, "", "")).encode() + body


class Record:
    """What was sent, answered and run, by time; written to `record.txt` of the case."""

    def __init__(self) -> None:
        self.began, self.entries, self.lock = now(), list[dict[str, Any]](), threading.Lock()

    def add(self, what: str, **fields: Any) -> None:
        with self.lock:
            self.entries.append({"at": fields.pop("at", None) or now(), "what": what, **fields})

    def write(self, path: Path, upstreams: list[dict[str, Any]], summary: list[str]) -> None:
        lines = [*summary, ""]
        for entry in sorted([*self.entries, *upstreams], key=lambda entry: float(entry["at"])):
            fields = " ".join(f"{key}={value}" for key, value in entry.items() if key not in ("at", "what"))
            lines.append(f"{entry['at'] - self.began:9.4f}  {entry['what']:<14} {fields}")
        path.write_text("\n".join(lines) + "\n")


def new_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="review-")


if __name__ == "__main__" and sys.argv[1:2] == ["upstreams"]:
    run_upstreams(sys.argv[2])
