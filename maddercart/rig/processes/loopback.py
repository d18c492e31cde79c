"""The addresses of one process's soaks, on a loopback host of their own.

A sidecar's port is free while the sidecar is down. On a host that all processes share, another soak's
upstream could get that port then, and requests of this soak's clients with it.
"""

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address

Address = tuple[str, int]  # host, port
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

FIRST_HOST = IPv4Address("127.64.0.0")  # Linux has process ids of at most 22 bits, which all lie behind it
ANY_PORT = 0  # the system chooses a free one


def soak_host(process_id: int | None = None) -> str:
    """The host of a process; of this one by default."""
    return str(FIRST_HOST + (os.getpid() if process_id is None else process_id))


def find_free_address(socket_kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """An address with a port that is free now, but is not reserved."""
    with socket.socket(socket.AF_INET, socket_kind) as sock:
        sock.bind((soak_host(), ANY_PORT))
        address: Address = sock.getsockname()
        return address


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


async def start_server(handle_connection: ConnectionHandler) -> tuple[asyncio.Server, str]:
    """Starts to listen and returns the server and its address as `host:port`."""
    server = await asyncio.start_server(handle_connection, soak_host(), ANY_PORT)
    return server, format_address(server.sockets[0].getsockname())
