"""What sidecars tell one another of the list, in datagrams of at most 256 bytes: an ask, or a part of a tell.

    "mc1", kind, list version, token; per upstream its number's first half, condition and the list's stamp of
    its start (milliseconds, 0 long ago); CRC-32 of all before

The token is the asker's, and a tell carries that of the ask it answers: how old it is, the asker knows by its
own clock. Earlier releases had the sender's wall time there; they answer no ask of this one.
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
    """Of one upstream: the first half of its number, its condition, the list's stamp of its start."""

    key: int
    condition: int
    stamp_ms: int


class Message(NamedTuple):
    kind: int
    version: int  # of the sender's list
    token: int
    words: list[Word]


def key_of(number: int) -> int:
    return number >> 32


def write(kind: int, version: int, token: int, words: Iterable[Word] = ()) -> bytes:
    data = HEAD.pack(FORM, kind, version, token) + b"".join(LINE.pack(*word) for word in words)
    return data + CHECK.pack(crc32(data))


def tells(version: int, token: int, words: list[Word]) -> Iterator[bytes]:
    for first in range(0, len(words), LINES):
        yield write(TELL, version, token, words[first : first + LINES])


def read(data: bytes) -> Message:
    """Raises `ValueError` for what is cut, forged in part, or not of this form."""
    body, check = data[: -CHECK.size], data[-CHECK.size :]
    if len(data) > MOST or len(body) < HEAD.size or (len(body) - HEAD.size) % LINE.size:
        raise ValueError("no length of ours")
    if CHECK.unpack(check)[0] != crc32(body):
        raise ValueError("the check sum differs")
    form, kind, version, token = HEAD.unpack_from(body)
    if form != FORM or kind not in (ASK, TELL):
        raise ValueError("not of this form")
    return Message(kind, version, token, [Word(*line) for line in LINE.iter_unpack(body[HEAD.size :])])
