"""The bad clients of this case: each opens one connection, sends hundreds of requests of a class that doesn't
exist at full speed, reads what it is sent, and closes.

All of them run in this one process, which waits for the first line on standard input before they connect.
"""

import argparse
import selectors
import socket
import sys
import time


class BadClient:
    def __init__(self, address: tuple[str, int], requests: bytes) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.unsent = memoryview(requests)
        self.answers = 0
        self.tail = b""

    def write(self) -> None:
        if self.unsent:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]

    def read(self) -> bool:
        """False once the sidecar has closed the connection."""
        data = self.sock.recv(1 << 16)
        text = self.tail + data
        self.answers += text.count(b"HTTP/1.1 ")
        self.tail = text[-8:]
        return bool(data)


def requests(client: int, count: int) -> bytes:
    return b"".join(
        f"GET /no-such-class?sid=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: bad{client}-{number}\r\n"
        f"X-Qos: no-such-class\r\nX-Expires-In: 1000m\r\n\r\n".encode()
        for number in range(count)
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--requests", type=int, required=True)
    terms = parser.parse_args()
    sent = [requests(number, terms.requests) for number in range(terms.clients)]
    sys.stdin.readline()
    began, selector, clients = time.monotonic(), selectors.DefaultSelector(), []
    for data in sent:
        client = BadClient(("127.0.0.1", terms.port), data)
        clients.append(client)
        selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
    while selector.get_map() and time.monotonic() - began < 15:
        for key, events in selector.select(0.5):
            client = key.data
            try:
                if events & selectors.EVENT_WRITE:
                    client.write()
                    if not client.unsent:
                        selector.modify(client.sock, selectors.EVENT_READ, client)
                open_still = not events & selectors.EVENT_READ or client.read()
            except BlockingIOError:
                continue
            except OSError:
                open_still = False
            if not open_still or client.answers >= terms.requests:
                selector.unregister(client.sock)
                client.sock.close()
    answers, seconds = sum(client.answers for client in clients), time.monotonic() - began
    print(
        f"bad clients: {len(clients)} sent {terms.requests} requests each, {answers} answers, {seconds:.1f} s"
    )


if __name__ == "__main__":
    main()
