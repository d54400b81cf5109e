"""Caches of HTTP message heads, each parsed or rendered by h11 once.

Workers and users send the same few request heads repeatedly, and nearly all responses have the
same head. Parsing, validating and rendering heads is the larger part of a request's cost, and
byte-identical heads always give the same result.

Only the heads of plain requests are cached: HTTP/1.1, with a body of known length or none, on
a connection that stays open. The caller passes all others to its own `h11.Connection`.
"""

from __future__ import annotations

import re
from functools import lru_cache

import h11

#: The end of a head, matched as in h11.
HEAD_END = re.compile(rb"\n\r?\n")
#: Maximum size of a head, in bytes; larger ones are refused.
MAX_HEAD_BYTES = 16 * 1024
#: Maximum number of cached heads, of requests and of responses each.
MAX_CACHED_HEADS = 8192
#: Maximum size of a cached head, in bytes.
MAX_CACHED_HEAD_BYTES = 1024

_PLAIN_REQUEST = b"GET / HTTP/1.1\r\nHost: any\r\n\r\n"


class RequestHead:
    """The head of a plain request; `length` is the size of its body in bytes."""

    __slots__ = ("method", "target", "length")

    def __init__(self, method: str, target: str, length: int) -> None:
        self.method = method
        self.target = target
        self.length = length


def head_length(data: bytes | bytearray) -> int:
    """Return the size in bytes of the head at the start of `data`; 0 if it is incomplete."""
    match = HEAD_END.search(data)
    return match.end() if match is not None else 0


@lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_request_head(head: bytes) -> RequestHead | None:
    """Parse a complete request head; None if the request is not plain or the head too large."""
    if len(head) > MAX_CACHED_HEAD_BYTES:
        return None
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    connection.receive_data(head)
    try:
        event = connection.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Request):
        return None
    if event.http_version != b"1.1" or event.method in (b"HEAD", b"CONNECT"):
        return None
    length = 0
    for name, value in event.headers:
        if name in (b"transfer-encoding", b"expect", b"upgrade"):
            return None
        if name == b"connection" and value.lower() != b"keep-alive":
            return None
        if name == b"content-length":
            length = int(value)
    return RequestHead(event.method.decode("ascii"), event.target.decode("latin-1"), length)


def _response_headers(length: int, retry_after_s: int | None, close: bool) -> list[tuple[str, str]]:
    headers = [("Content-Type", "application/cbor"), ("Content-Length", str(length))]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(retry_after_s)))
    if close:
        headers.append(("Connection", "close"))
    return headers


def response_event(
    status: int, length: int, retry_after_s: int | None, close: bool
) -> h11.Response:
    """Return the response event for an `h11.Connection`; the body has `length` bytes."""
    headers = _response_headers(length, retry_after_s, close)
    return h11.Response(status_code=status, headers=headers)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def render_response_head(status: int, length: int, retry_after_s: int | None, close: bool) -> bytes:
    """Return the encoded head of a response to a plain request; the body has `length` bytes."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(_PLAIN_REQUEST)
    connection.next_event()
    event = response_event(status, length, retry_after_s, close)
    return connection.send(event) or b""
