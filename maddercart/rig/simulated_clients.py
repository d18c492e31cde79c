"""Fake clients on the simulated network, which record the answers to each of their queries."""

from dataclasses import dataclass, field
from random import Random

from maddercart.interface import MILLISECOND
from maddercart.rig.simulated_network import Address, RemoteEnd, SimulatedNetwork


@dataclass
class ClientQuery:
    """A query as its client sees it."""

    trace_id: str
    offering: str
    sent_at: int
    hard_stop_at: int
    responses: list[tuple[int, int]] = field(default_factory=list)  # (time, status)
    connection_lost_at: int = 0  # when its connection closed without an answer; 0: it didn't
    excused: bool = False  # the sidecar was killed while the query was open


class ClientConnection(RemoteEnd):
    """A client's side of a connection that carries one query."""

    def __init__(self, network: SimulatedNetwork, query: ClientQuery) -> None:
        super().__init__(network)
        self.query, self.buffer = query, b""

    def on_data(self, data: bytes) -> None:
        self.buffer += data
        head, _, body = self.buffer.partition(b"\r\n\r\n")
        if (position := head.lower().find(b"content-length: ")) >= 0:
            length = int(head[position + 16 :].split(b"\r\n")[0])
            if len(body) >= length:
                self.query.responses.append((self.network.now, int(head.split(b" ")[1])))
                self.buffer = body[length:]
                self.close()

    def on_closed(self) -> None:
        if not self.query.responses:
            self.query.connection_lost_at = self.network.now


class FakeClients:
    """Sends queries of random offerings to the sidecar, each on a connection of its own."""

    def __init__(
        self, network: SimulatedNetwork, address: Address, offerings: list[tuple[str, int]], rng: Random
    ) -> None:
        """`offerings`: (name, time until the hard stop in nanoseconds)."""
        self.network, self.address, self.offerings, self.rng = network, address, offerings, rng
        self.queries: list[ClientQuery] = []

    def send_query(self) -> None:
        """Sends a query of a random offering, unless the sidecar doesn't listen."""
        name, hard_stop = self.rng.choice(self.offerings)
        now, trace_id = self.network.now, f"t{len(self.queries)}"
        query = ClientQuery(trace_id, name, now, now + hard_stop)
        client = ClientConnection(self.network, query)
        if not self.network.connect(self.address, client):
            return
        self.queries.append(query)
        method, key = ("GET", "") if name == "look" else ("POST", f"Idempotency-Key: {trace_id}\r\n")
        head = f"{method} /{name} HTTP/1.1\r\nHost: o\r\nX-Trace-Id: {trace_id}\r\nX-Qos: {name}\r\n"
        client.send(
            f"{head}X-Expires-In: {hard_stop // MILLISECOND}m\r\n{key}Content-Length: 0\r\n\r\n".encode()
        )

    def send_until(self, mean_interval: int, until: int) -> None:
        """Sends queries at random intervals of this mean, until an instant."""

        def send_next() -> None:
            self.send_query()
            if self.network.now < until:
                self.network.schedule_after(int(self.rng.expovariate(1.0) * mean_interval), send_next)

        send_next()
