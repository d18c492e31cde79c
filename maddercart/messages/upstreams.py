"""The list of upstreams, as discovery tells it: whole, or what has changed on it."""

from typing import Any

import msgspec
from msgspec import Struct, field


class Host(Struct, frozen=True):
    """One upstream; `born_ms` is 0 where it started long ago."""

    host: str
    dial: str
    site: str
    health: str
    kind: str = field(name="class", default="")
    block: int = 0
    share: float = 1.0
    born_ms: float = 0.0


class Listing(Struct, frozen=True):
    """A version of the list. Its lines stay unread here: one that can't be read must not cost the others."""

    seq: int
    hosts: list[Any]
    whole: bool = False


_listing = msgspec.json.Decoder(Listing)


def read_listing(line: bytes) -> Listing:
    """Raises `msgspec.MsgspecError` if it isn't one."""
    return _listing.decode(line)


def read_host(line: Any) -> Host:
    """Raises `msgspec.MsgspecError` if it isn't one."""
    return msgspec.convert(line, Host)
