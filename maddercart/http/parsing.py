"""What the HTTP state machines share."""

import re

# Events (heads, parts of bodies, informational responses) that are taken from one connection in a turn of the
# loop. One read has room for tens of thousands.
MAX_EVENTS_PER_TURN = 64
# Of the connection to discovery, of which there is one and whose lists must be applied soon.
MAX_LIST_EVENTS_PER_TURN = 512

MAX_HEAD_FIELDS = 128  # header fields of a message; a usual limit among servers is 100
END_OF_HEAD = re.compile(rb"\n\r?\n")


def has_too_many_fields(received: bytes) -> bool:
    """Whether the head that `received` begins with has more than `MAX_HEAD_FIELDS` header fields, as far as
    it has come. Once parsed, a field takes many times its bytes."""
    if received.count(b"\n") <= MAX_HEAD_FIELDS:
        return False
    end = END_OF_HEAD.search(received)
    return received.count(b"\n", 0, end.start() if end else len(received)) > MAX_HEAD_FIELDS
