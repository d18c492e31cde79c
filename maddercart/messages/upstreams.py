"""The list of upstreams as discovery sends it: a full list, or the changes to it."""

from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field


class Host(Struct, frozen=True):
    """One upstream.

    `born_ms` is its start as a Unix timestamp in milliseconds, or 0 if it started long ago. `kind` is written
    `class` in JSON. `block` is the group that deduplicates repeats; an upstream without one shares none.
    """

    host: str
    dial: str
    site: str
    health: str
    kind: str = field(name="class", default="")
    block: int | UnsetType = UNSET
    share: float = 1.0
    born_ms: float = 0.0


class Listing(Struct, frozen=True):
    """A version of the list; `whole` is false if it holds only the changes.

    The entries of `hosts` are decoded one by one with `decode_host`, so that an invalid entry does not
    invalidate the others.
    """

    seq: int
    hosts: list[Any]
    whole: bool = False


_listing_decoder = msgspec.json.Decoder(Listing)


def decode_listing(data: bytes) -> Listing:
    """Raises `msgspec.MsgspecError` if the data is not a valid listing."""
    return _listing_decoder.decode(data)


def decode_host(entry: Any) -> Host:
    """Raises `msgspec.MsgspecError` if the entry is not a valid host."""
    return msgspec.convert(entry, Host)
