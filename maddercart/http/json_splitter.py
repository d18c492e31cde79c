"""Splits a byte stream into JSON values without parsing them.

A value may span several lines and chunks, and a line or chunk may hold several values. Each byte is scanned
once.
"""

import re

# OUTSIDE_VALUE matches up to the next bracket outside of strings, or up to a string that is not complete yet.
# INSIDE_VALUE also skips objects without nested objects or arrays, such as the entries of an upstream list.
TOKEN = rb'[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+"'
OUTSIDE_VALUE = re.compile(rb"(?:%s)*+" % TOKEN, re.DOTALL)
INSIDE_VALUE = re.compile(rb"(?:%s|\{(?:%s)*+\})*+" % (TOKEN, TOKEN), re.DOTALL)
STRING_REST = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)  # up to the closing quote or the end of the data
OPENING, CLOSING, QUOTE = b"{[", b"}]", 0x22


class JsonStreamError(ValueError):
    """The data is neither an object nor an array, or exceeds the size limit."""


class JsonSplitter:
    """`max_bytes` is the maximum size of a value that is not complete yet.

    `unfinished` is true if the last call of `feed` or `split` left data that can be scanned, for a later turn
    of the loop.
    """

    MAX_BRACKETS_PER_CALL = 2048  # scanned one by one; the entries of a list need none

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.unfinished = False
        self.buffer = bytearray()
        self.position = self.depth = 0  # end of the scanned part of the buffer, and its nesting depth
        self.in_string = False

    @property
    def in_value(self) -> bool:
        """Whether a value has been received in part."""
        return bool(self.depth)

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received data and scans it; see `split`."""
        self.buffer += data
        return self.split()

    def split(self) -> list[bytes]:
        """Returns the values that are now complete. Raises `JsonStreamError`."""
        values: list[bytes] = []
        start = brackets = 0
        self.unfinished = False
        while self.position < len(self.buffer):
            if brackets == self.MAX_BRACKETS_PER_CALL:
                self.unfinished = True
                break
            brackets += 1
            if self.in_string:
                self.position = self.match_end(STRING_REST)
                if self.position < len(self.buffer) and self.buffer[self.position] == QUOTE:
                    self.position, self.in_string = self.position + 1, False
                    continue
                break  # more data is needed: the buffer ends within the string, perhaps after a backslash
            end = self.match_end(INSIDE_VALUE if self.depth else OUTSIDE_VALUE)
            if not self.depth and self.buffer[start:end].strip():
                raise JsonStreamError("neither a JSON object nor an array")
            if end == len(self.buffer):
                self.position = end
                break
            self.position, character = end + 1, self.buffer[end]
            if character == QUOTE:
                self.in_string = True
            elif character in OPENING:
                start, self.depth = (start if self.depth else end), self.depth + 1
            else:
                self.depth -= 1
            if self.depth < 0 or (self.in_string and not self.depth):
                raise JsonStreamError("neither a JSON object nor an array")
            if character in CLOSING and not self.depth:
                values.append(bytes(self.buffer[start : self.position]))
                start = self.position
        if not self.depth:
            start = self.position  # discards whitespace between values
        if start:
            del self.buffer[:start]
            self.position -= start
        if len(self.buffer) > self.max_bytes:
            raise JsonStreamError("JSON value exceeds the size limit")
        return values

    def match_end(self, pattern: re.Pattern[bytes]) -> int:
        match = pattern.match(self.buffer, self.position)
        return match.end() if match else self.position
