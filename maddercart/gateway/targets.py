"""Normalizes the target and host of a request, so that route matching and upstreams see the same path.

- The authority of an absolute URL takes precedence over the Host header. The URL's path is sent on, with its
  authority as Host.
- For matching, a host has no port, no trailing dot and no capital letters; it is sent on unchanged.
- Percent-encoded unreserved characters (letters, digits, `-._~`) are decoded. Other escapes stay, in upper
  case: an encoded slash does not separate segments, neither here nor at the upstream.
- Dot segments, also as `%2e`, are rejected, because servers differ in whether they remove them.
- An empty path becomes `/`; empty segments and the query string are left unchanged.
"""

import re
from typing import NamedTuple

PERCENT_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})|%")  # without a group: a % that begins no valid escape
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PATH_CHARACTERS = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*")  # RFC 3986
ABSOLUTE_URL = re.compile(r"(?i)https?://([^/?#]*)")
AUTHORITY = re.compile(r"(?:[A-Za-z0-9_.-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{1,5})?")


class BadTarget(ValueError):
    """The target or host is invalid or ambiguous; the request is answered with 400 and not sent on.

    The message is the body of that answer.
    """


class RequestTarget(NamedTuple):
    """The normalized target of a request."""

    host: str  # in the form that routes match on; empty if the request names none
    path: str
    target: str  # path and query string to send on
    authority: str  # the Host header to send on


def parse_target(target: bytes, host: bytes | None) -> RequestTarget:
    """Normalizes a request target; `host` is the Host header, None if there is none. Raises `BadTarget`."""
    try:
        text, authority = target.decode("ascii"), (host or b"").decode("ascii").strip()
    except UnicodeDecodeError as error:
        raise BadTarget("the target or Host is not ASCII") from error
    if url := ABSOLUTE_URL.match(text):
        authority, text = url[1], text[url.end() :]
        if "@" in authority:
            raise BadTarget("the URL has a user in it")
        if not authority:
            raise BadTarget("the URL names no host")
        text = text if text.startswith("/") else "/" + text
    elif not text.startswith("/"):
        raise BadTarget("the target is neither a path nor an absolute URL")
    if authority and not AUTHORITY.fullmatch(authority):
        raise BadTarget("Host is no name with a port")
    if "#" in text:
        raise BadTarget("the target has a fragment")
    path, separator, query = text.partition("?")
    path = normalize_path(path)
    return RequestTarget(host_name(authority), path, path + separator + query, authority)


def host_name(authority: str) -> str:
    """The host in lower case, without port and trailing dots."""
    name = authority.lower()
    if not name.endswith("]"):
        name = name.rpartition(":")[0] if re.search(r":[0-9]+$", name) else name
    return name.rstrip(".") if not name.startswith("[") else name


def normalize_path(path: str) -> str:
    """Raises `BadTarget` for invalid escapes or characters, and for dot segments."""
    if "%" in path:
        path = PERCENT_ESCAPE.sub(normalize_escape, path)
    if not PATH_CHARACTERS.fullmatch(path):
        raise BadTarget("the path has a character that must be escaped")
    if "/." in path and any(segment in (".", "..") for segment in path.split("/")):
        raise BadTarget("the path has a dot segment")
    return path or "/"


def normalize_escape(escape: re.Match[str]) -> str:
    """The unreserved character that an escape stands for, else the escape in upper case."""
    if escape[1] is None:
        raise BadTarget("the path has a % that escapes nothing")
    character = chr(int(escape[1], 16))
    if character in "\0\r\n":
        raise BadTarget("the path has an escaped control character")
    return character if character in UNRESERVED else escape[0].upper()
