"""Cuts JSON values out of bytes that come in parts, without parsing any of them: a value may span lines and
parts, and two may share one. Each byte is looked at once."""

import re

# All up to a bracket outside of strings, or up to a string that does not end here; inside of a value also
# objects that hold no other, which is what a list's lines are.
PLAIN = rb'[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+"'
SKIP = re.compile(rb"(?:%s)*+" % PLAIN, re.DOTALL)
INSIDE = re.compile(rb"(?:%s|\{(?:%s)*+\})*+" % (PLAIN, PLAIN), re.DOTALL)
REST = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)  # of a string, or as much of it as has come
OPENS, CLOSES, QUOTE = b"{[", b"}]", 0x22


class NoValue(ValueError):
    """What came is neither an object nor a list, or one over the limit."""


class Values:
    def __init__(self, most: int) -> None:
        self.most = most
        self.part = bytearray()  # of a value that is not whole yet, and what has come behind it
        self.looked = self.depth = 0  # so far, and how deep that is
        self.inside = False  # of a string

    @property
    def begun(self) -> bool:
        return bool(self.depth)

    def feed(self, data: bytes) -> list[bytes]:
        """The values that have become whole. Raises `NoValue`."""
        self.part += data
        values: list[bytes] = []
        begins = 0
        while self.looked < len(self.part):
            if self.inside:
                self.looked = self.matched(REST)
                if self.looked < len(self.part) and self.part[self.looked] == QUOTE:
                    self.looked, self.inside = self.looked + 1, False
                    continue
                break  # it ends, or breaks off behind a backslash
            at = self.matched(INSIDE if self.depth else SKIP)
            if not self.depth and self.part[begins:at].strip():
                raise NoValue("what came is no JSON object")
            if at == len(self.part):
                self.looked = at
                break
            self.looked, found = at + 1, self.part[at]
            if found == QUOTE:
                self.inside = True
            elif found in OPENS:
                begins, self.depth = (begins if self.depth else at), self.depth + 1
            else:
                self.depth -= 1
            if self.depth < 0 or (self.inside and not self.depth):
                raise NoValue("what came is no JSON object")
            if found in CLOSES and not self.depth:
                values.append(bytes(self.part[begins : self.looked]))
                begins = self.looked
        if not self.depth:
            begins = self.looked  # blanks between two
        if begins:
            del self.part[:begins]
            self.looked -= begins
        if len(self.part) > self.most:
            raise NoValue("a value is over the limit")
        return values

    def matched(self, what: re.Pattern[bytes]) -> int:
        found = what.match(self.part, self.looked)
        return found.end() if found else self.looked
