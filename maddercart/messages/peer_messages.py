"""Datagrams by which sidecars share the state of upstreams.

A datagram has at most 256 bytes and holds a request (ask) or a part of a response (tell).

Layout, big-endian: magic "mc1", kind, list version, token; per upstream the upper half of its id, its
condition and the discovery list's timestamp of its start (Unix milliseconds, 0: long ago); CRC-32 of all
preceding bytes.

The requester chooses the token and the response repeats it, so that the requester can tell the age of the
response by its own clock. Earlier releases sent their wall clock time in its place; their messages answer no
request of this release.
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple
from zlib import crc32

MAX_DATAGRAM_BYTES = 256  # maximum length of a datagram in bytes, set by the protocol
MAGIC = b"mc1"
ASK, TELL = 1, 2
HEADER, RECORD, CHECKSUM = struct.Struct("!3sBQQ"), struct.Struct("!IBQ"), struct.Struct("!I")
# maximum number of records in a datagram
MAX_RECORDS = (MAX_DATAGRAM_BYTES - HEADER.size - CHECKSUM.size) // RECORD.size


class UpstreamState(NamedTuple):
    """The state of one upstream.

    `key` is the upper half of the upstream's id (see `short_key`), `condition` one of GONE, READY and
    DRAINING, and `start_ms` the timestamp of its start in the discovery list.
    """

    key: int
    condition: int
    start_ms: int


class Message(NamedTuple):
    """A decoded datagram; `kind` is ASK or TELL, `version` that of the sender's list."""

    kind: int
    version: int
    token: int
    states: list[UpstreamState]


def short_key(number: int) -> int:
    """Returns the upper half of the 64-bit id of an upstream."""
    return number >> 32


def encode(kind: int, version: int, token: int, states: Iterable[UpstreamState] = ()) -> bytes:
    """Encodes one datagram, of at most `MAX_RECORDS` records."""
    data = HEADER.pack(MAGIC, kind, version, token) + b"".join(RECORD.pack(*state) for state in states)
    return data + CHECKSUM.pack(crc32(data))


def encode_tells(version: int, token: int, states: list[UpstreamState]) -> Iterator[bytes]:
    """Yields the datagrams of a response, as many as its records need."""
    for first in range(0, len(states), MAX_RECORDS):
        yield encode(TELL, version, token, states[first : first + MAX_RECORDS])


def decode(data: bytes) -> Message:
    """Raises `ValueError` if the datagram is truncated, corrupted or in another format."""
    body, checksum = data[: -CHECKSUM.size], data[-CHECKSUM.size :]
    if len(data) > MAX_DATAGRAM_BYTES or len(body) < HEADER.size or (len(body) - HEADER.size) % RECORD.size:
        raise ValueError("invalid length")
    if CHECKSUM.unpack(checksum)[0] != crc32(body):
        raise ValueError("checksum mismatch")
    magic, kind, version, token = HEADER.unpack_from(body)
    if magic != MAGIC or kind not in (ASK, TELL):
        raise ValueError("unknown format or message kind")
    return Message(
        kind, version, token, [UpstreamState(*record) for record in RECORD.iter_unpack(body[HEADER.size :])]
    )
