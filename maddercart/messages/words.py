"""What sidecars tell one another of the list, in datagrams of at most 256 bytes: an ask, or a part of a tell.

    "mc1", kind, list version, Unix time in milliseconds; per upstream its number's first half, condition and
    when it was launched (Unix milliseconds, 0 long ago); CRC-32 of all before
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple
from zlib import crc32

MOST = 256  # bytes; a longer one is against the protocol
FORM = b"mc1"
ASK, TELL = 1, 2
HEAD, LINE, CHECK = struct.Struct("!3sBQQ"), struct.Struct("!IBQ"), struct.Struct("!I")
LINES = (MOST - HEAD.size - CHECK.size) // LINE.size


class Word(NamedTuple):
    """Of one upstream: the first half of its number, its condition, when it was launched (ms, 0 long ago)."""

    key: int
    condition: int
    launched_ms: int


class Message(NamedTuple):
    kind: int
    version: int  # of the sender's list
    at_ms: int
    words: list[Word]


def key_of(number: int) -> int:
    return number >> 32


def write(kind: int, version: int, at_ms: int, words: Iterable[Word] = ()) -> bytes:
    data = HEAD.pack(FORM, kind, version, at_ms) + b"".join(LINE.pack(*word) for word in words)
    return data + CHECK.pack(crc32(data))


def tells(version: int, at_ms: int, words: list[Word]) -> Iterator[bytes]:
    for first in range(0, len(words), LINES):
        yield write(TELL, version, at_ms, words[first : first + LINES])


def read(data: bytes) -> Message:
    """Raises `ValueError` for what is cut, forged in part, or not of this form."""
    body, check = data[: -CHECK.size], data[-CHECK.size :]
    if len(data) > MOST or len(body) < HEAD.size or (len(body) - HEAD.size) % LINE.size:
        raise ValueError("no length of ours")
    if CHECK.unpack(check)[0] != crc32(body):
        raise ValueError("the check sum differs")
    form, kind, version, at_ms = HEAD.unpack_from(body)
    if form != FORM or kind not in (ASK, TELL):
        raise ValueError("not of this form")
    return Message(kind, version, at_ms, [Word(*line) for line in LINE.iter_unpack(body[HEAD.size :])])
