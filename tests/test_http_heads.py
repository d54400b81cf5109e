"""Cached HTTP heads: same requests and responses as with h11 alone, at a constant cost."""

from __future__ import annotations

from http import HTTPStatus
from random import Random
from typing import Any

import cbor2
import h11

from tests.fakes.virtual_time import run_nonblocking
from topazhold.io.http import Request, Response
from topazhold.io.http_heads import MAX_CACHED_HEADS, parse_request_head, render_response_head
from topazhold.io.server import Connection


class ScriptedSocket:
    """A socket that receives the given pieces one by one; records sent data and counts receives."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.pieces = pieces
        self.sent: list[bytes] = []
        self.receives = 0

    async def recv(self, size: int) -> bytes:
        self.receives += 1
        return self.pieces.pop(0) if self.pieces else b""

    async def sendall(self, data: bytes) -> None:
        self.sent.append(data)


def exchange(pieces: list[bytes], response_rng: Random) -> tuple[list[Any], bytes, ScriptedSocket]:
    """Serve a connection; return its requests and errors, the sent bytes and the socket."""
    sock = ScriptedSocket(list(pieces))
    connection = Connection(sock, None, 0.0)
    seen: list[Any] = []
    while True:
        try:
            request = run_nonblocking(connection.receive())
        except h11.RemoteProtocolError as exc:
            run_nonblocking(connection.refuse(exc.error_status_hint or HTTPStatus.BAD_REQUEST))
            seen.append(type(exc))
            break
        if request is None:
            break
        if isinstance(request, Request):
            seen.append((request.method, request.path, request.query, request.body))
            response = Response(
                response_rng.choice(
                    (HTTPStatus.OK, HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE)
                ),
                {"n": response_rng.random()},
            )
        else:
            seen.append(request.status)
            response = request
        if not run_nonblocking(connection.send(response)):
            break
    return seen, b"".join(sock.sent), sock


def random_request(rng: Random) -> bytes:
    """Return a random request: plain, one that only h11 handles, or malformed."""
    method = rng.choice((b"GET", b"POST", b"POST", b"POST", b"HEAD", b"DELETE"))
    body = rng.randbytes(rng.choice((0, 1, 40, 3000)))
    headers = [b"Host: x"]
    framing = rng.choice(("length", "length", "length", "chunked", "none", "wrong"))
    if framing == "length":
        headers.append(b"Content-Length: %d" % len(body))
    elif framing == "chunked":
        headers.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
    elif framing == "wrong":
        headers.append(b"Content-Length: many")
    else:
        body = b""
    extra = rng.choice((b"", b"", b"", b"Connection: close", b"Connection: keep-alive", b"X: y"))
    if extra:
        headers.insert(rng.randrange(len(headers) + 1), extra)
    version = rng.choice((b"1.1", b"1.1", b"1.1", b"1.0"))
    line_end = rng.choice((b"\r\n", b"\r\n", b"\n"))
    target = rng.choice((b"/v1/report", b"/api/jobs?a=b", b"/healthz"))
    return line_end.join([b"%s %s HTTP/%s" % (method, target, version), *headers, b"", b""]) + body


def split_randomly(rng: Random, data: bytes) -> list[bytes]:
    pieces = []
    while data:
        size = rng.randint(1, len(data))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def test_cached_heads_give_the_same_requests_and_responses_as_h11() -> None:
    """If the first head does not arrive in one piece, h11 parses the whole connection. The same
    bytes in whole requests use cached heads, with the same requests and responses."""
    rng = Random(7)
    request_count = 0
    for _ in range(300):
        requests = [random_request(rng) for _ in range(rng.randint(1, 5))]
        stream = b"".join(requests)
        seed = rng.random()
        by_h11 = exchange([stream[:1], stream[1:]], Random(seed))
        assert exchange(requests, Random(seed))[:2] == by_h11[:2]
        assert exchange([stream], Random(seed))[:2] == by_h11[:2]
        assert exchange(split_randomly(rng, stream), Random(seed))[:2] == by_h11[:2]
        request_count += len(by_h11[0])
    assert request_count > 300


def heartbeat_request(number: int) -> bytes:
    body = cbor2.dumps({"box": "host-1", "tally": 1000 + number})
    return b"POST /v1/report HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


def test_a_heartbeat_costs_one_receive_one_send_and_no_parsing() -> None:
    """Parsing and rendering identical heads with h11 took a third of a leader's CPU time."""
    for count in (10, 200):
        pieces = [heartbeat_request(number) for number in range(count)]
        exchange(pieces, Random(1))  # fills the caches
        parse_misses = parse_request_head.cache_info().misses
        render_misses = render_response_head.cache_info().misses
        seen, _, sock = exchange(pieces, Random(1))
        assert len(seen) == len(sock.sent) == count
        assert sock.receives == count + 2  # the end is received twice: before and by h11
        assert parse_request_head.cache_info().misses == parse_misses
        assert render_response_head.cache_info().misses == render_misses


def test_caches_of_heads_are_bounded() -> None:
    """Users choose the paths, and so the number of different heads."""
    for number in range(2 * MAX_CACHED_HEADS):
        assert parse_request_head(b"GET /api/jobs/wk-%d HTTP/1.1\r\nHost: x\r\n\r\n" % number)
    assert parse_request_head.cache_info().currsize == MAX_CACHED_HEADS
    long_head = b"GET /" + b"a" * 2000 + b" HTTP/1.1\r\nHost: x\r\n\r\n"
    assert parse_request_head(long_head) is None
