"""Selection of the headers that a proxy forwards."""

from collections.abc import Sequence

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only, and Content-Length, which is written again with the body.
HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"expect", b"content-length",
})  # fmt: skip


def forwarded_headers(headers: Sequence[tuple[bytes, bytes]], excluded: frozenset[bytes]) -> Headers:
    """Returns the headers to forward: all but the hop-by-hop ones and those in `excluded` (in lower case)."""
    return [pair for pair in headers if (name := pair[0].lower()) not in HOP_BY_HOP and name not in excluded]
