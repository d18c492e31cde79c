"""One connection of the application, and the phases that it goes through."""

import socket
from enum import Enum, auto

from maddercart.http.read_ahead import ReadAhead
from maddercart.http.server import Request, ServerProtocol
from maddercart.interface import SECOND
from maddercart.messages.responses import ClientResponse
from maddercart.net.loop import RANK_BACKLOG, RANK_LAST, Task
from maddercart.net.sockets import PeerState, peer_state
from maddercart.sidecar.decisions import BalancerDriver
from maddercart.sidecar.memory import (
    APPLICATION_CONNECTION_BYTES,
    BODY_COPIES,
    QUERY_BYTES,
    MemoryAccount,
    MemoryLedger,
    MemoryUse,
    head_bytes,
)


class Phase(Enum):
    NEW = auto()  # accepted, nothing received yet
    PART = auto()  # part of a request has been received
    BUSY = auto()  # from a whole request to the first byte of its answer
    WRITING = auto()  # the answer is being written
    IDLE = auto()  # between requests
    REFUSED = auto()  # the last answer is written; further input is read and discarded


# How long a connection may stay in a phase. Clients are on this machine or close by, so a request takes
# milliseconds to arrive, and a client that is slow on purpose is refused after two seconds. The limit for
# idle connections is one that is usual among servers.
PHASE_TIMEOUTS_NS = {
    Phase.NEW: 2 * SECOND, Phase.PART: 2 * SECOND, Phase.IDLE: 60 * SECOND, Phase.REFUSED: SECOND // 2,
}  # fmt: skip

# When all connection slots are taken, how long a connection must have been in its phase before it may be
# evicted. The order is that of eviction, by what the client would lose, least first: one that has sent
# nothing or was refused loses nothing; one that keeps an idle connection may have to open another.
EVICTABLE_AFTER_NS = {
    Phase.REFUSED: SECOND // 10, Phase.NEW: SECOND // 10, Phase.IDLE: 2 * SECOND, Phase.PART: SECOND // 2,
}  # fmt: skip

# When memory is short, how long a connection must have been in its phase before what it holds is given up.
EVICTABLE_FOR_MEMORY_NS = {Phase.PART: SECOND // 2, Phase.WRITING: SECOND}


class ApplicationConnection:
    """The socket of a client, its protocol state and the query that it waits for."""

    __slots__ = (
        "account",
        "ahead",
        "driver",
        "evicted_for_memory",
        "phase",
        "phase_deadline",
        "protocol",
        "query_number",
        "reply",
        "sock",
        "task",
        "waiting",
        "waiting_since",
    )  # fmt: skip

    def __init__(self, sock: socket.socket, max_body: int, ledger: MemoryLedger) -> None:
        self.sock, self.protocol = sock, ServerProtocol(max_body)
        self.account = MemoryAccount(ledger)
        self.account.hold(MemoryUse.CONNECTIONS, APPLICATION_CONNECTION_BYTES)
        self.evicted_for_memory = False  # the part of a request that was read is given up for others
        self.ahead = ReadAhead(self.protocol)
        self.phase, self.phase_deadline = Phase.BUSY, 0
        self.task: Task | None = None
        self.query_number = 0  # of the query that awaits its answer; 0: none
        self.driver: BalancerDriver | None = None  # holds that query
        self.reply: ClientResponse | None = None
        self.waiting = False  # the task waits for the reply and must be woken
        # The earliest time at which the whole of a request can have come, where that is before the event with
        # which its last part is read: it was there when the connection was accepted, or is read in parts.
        self.waiting_since: int | None = None

    def is_silent(self) -> bool:
        """Whether there is no received data that was not read yet."""
        return peer_state(self.sock) != PeerState.UNREAD

    def rank_by_backlog(self, more_to_parse: bool = False) -> None:
        """Ranks the connection's task behind those of clients that have sent one request at a time, while
        input lies behind the request in hand, or there is `more_to_parse` of one."""
        if self.task is not None:
            self.task.rank = RANK_BACKLOG if more_to_parse or self.ahead.pending else RANK_LAST

    def hold_part(self, protocol: ServerProtocol) -> None:
        """Accounts for a request that has been received in part."""
        held = protocol.unparsed_bytes + BODY_COPIES * protocol.body_bytes + head_bytes(protocol.head_fields)
        self.account.hold(MemoryUse.PARTS, held)

    def hold_query(self, request: Request) -> None:
        """Accounts for a whole request, until its answer is written."""
        held = QUERY_BYTES + BODY_COPIES * len(request.body) + head_bytes(request.headers)
        self.account.hold(MemoryUse.PARTS, 0)
        self.account.hold(MemoryUse.QUERIES, held)

    def hold_ahead(self) -> None:
        """Accounts for the input behind the request that is being answered."""
        self.account.hold(MemoryUse.AHEAD, self.ahead.held_bytes)

    def hold_answer(self, body_bytes: int) -> None:
        """Accounts for an answer that is being written; the query is no longer held."""
        self.account.hold(MemoryUse.QUERIES, 0)
        self.account.hold(MemoryUse.ANSWERS, BODY_COPIES * body_bytes)

    def drop_input(self) -> None:
        """Forgets what was received, once the last answer is serialized."""
        self.protocol.restart()
        self.ahead.excess = None
        for use in (MemoryUse.PARTS, MemoryUse.AHEAD, MemoryUse.QUERIES):
            self.account.hold(use, 0)
