"""Which headers go on to the other side."""

from collections.abc import Sequence

Headers = list[tuple[bytes, bytes]]

# A connection's own, and the length, which is written anew with the body.
HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"expect", b"content-length",
})  # fmt: skip


def passed_on(headers: Sequence[tuple[bytes, bytes]], but: frozenset[bytes]) -> Headers:
    """All but a connection's own and those that are the sidecar's business."""
    return [pair for pair in headers if (name := pair[0].lower()) not in HOP_BY_HOP and name not in but]
