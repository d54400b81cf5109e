"""The HTTP server and client, peer connections and the token bucket, on loopback sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import cbor2
import curio
import pytest
from curio import socket

from topazhold.io import peer_transport
from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, Request, RequestNotSentError, Response
from topazhold.io.rate_limit import TokenBucket
from topazhold.io.server import Server


def is_limited(request: Request) -> bool:
    return request.path.startswith("/guest")


async def echo(request: Request) -> Response:
    if request.path == "/fail":
        raise RuntimeError("on purpose")
    if request.path == "/busy":
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=2.4)
    if request.path == "/slow":
        await curio.sleep(30)
    body = cbor2.loads(request.body) if request.body else None
    return Response(HTTPStatus.OK, {"path": request.path, "query": request.query, "body": body})


def run_with_server(
    main: Callable[[tuple[str, int]], Awaitable[Any]],
    limit: int = 8,
    max_limited: int = 8,
    idle_s: float = 5.0,
) -> Any:
    async def run() -> Any:
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
        await probe.close()
        server = Server(echo, limit, idle_s, is_limited, max_limited)
        server_task = await curio.spawn(server.run, address, daemon=True)
        await curio.sleep(0.05)
        try:
            return await curio.timeout_after(10, main, address)
        finally:
            await server_task.cancel()

    return curio.run(run)


async def send_raw(address: tuple[str, int], data: bytes) -> bytes:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect(address)
    await sock.sendall(data)
    answer = b""
    while True:
        try:
            part = await curio.ignore_after(0.3, sock.recv, 65536)
        except ConnectionError:
            break
        if not part:
            break
        answer += part
    await sock.close()
    return answer


def test_requests_share_a_connection() -> None:
    async def main(address: tuple[str, int]) -> None:
        client = Client(address)
        for number in range(3):
            status, body = await client.request("POST", "/a?b=c", {"n": number}, 2.0)
            assert status == HTTPStatus.OK
            assert cbor2.loads(body) == {"path": "/a", "query": "b=c", "body": {"n": number}}
        status, _ = await client.request("GET", "/fail", None, 2.0)
        assert status == HTTPStatus.INTERNAL_SERVER_ERROR
        await client.close()

    run_with_server(main)


def test_invalid_http_is_refused_and_the_server_survives() -> None:
    async def main(address: tuple[str, int]) -> None:
        assert b" 400 " in await send_raw(address, b"nonsense\r\n\r\n")
        assert b" 4" in (await send_raw(address, b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 9000))[:20]
        oversized = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000
        assert b" 413 " in await send_raw(address, oversized)
        answer = await send_raw(address, b"GET /busy HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 503 " in answer and b"retry-after: 2" in answer.lower()
        status, _ = await Client(address).request("GET", "/", None, 2.0)
        assert status == HTTPStatus.OK

    run_with_server(main)


def test_client_tells_no_response_from_not_sent() -> None:
    async def main(address: tuple[str, int]) -> None:
        with pytest.raises(NoResponseError):
            await Client(address).request("GET", "/slow", None, 0.2)
        with pytest.raises(RequestNotSentError):
            await Client(("127.0.0.1", 1)).request("GET", "/", None, 0.5)

    run_with_server(main)


def test_number_of_connections_is_limited() -> None:
    async def main(address: tuple[str, int]) -> None:
        open_sockets = []
        for _ in range(4):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            await sock.connect(address)
            open_sockets.append(sock)
        await curio.sleep(0.1)
        assert await send_raw(address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n") == b""
        for sock in open_sockets:
            await sock.close()
        await curio.sleep(0.1)
        assert b" 200 " in await send_raw(address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    run_with_server(main, limit=4)


def test_idle_connections_are_closed_and_busy_ones_are_not() -> None:
    async def main(address: tuple[str, int]) -> None:
        idle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await idle.connect(address)
        incomplete = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await incomplete.connect(address)
        await incomplete.sendall(b"POST / HTTP/1.1\r\n")
        busy = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await busy.connect(address)
        await busy.sendall(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await curio.timeout_after(2.0, idle.recv, 100) == b""
        assert await curio.timeout_after(2.0, incomplete.recv, 100) == b""
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.5, busy.recv, 100)

    run_with_server(main, idle_s=0.4)


def test_server_waits_for_an_address_that_is_in_use() -> None:
    """Otherwise the controller exits, and its platform restarts it only after a delay."""

    async def run() -> int:
        occupying_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        occupying_socket.bind(("127.0.0.1", 0))
        address = occupying_socket.getsockname()
        server_task = await curio.spawn(Server(echo, 8, 5.0).run, address, daemon=True)
        await curio.sleep(0.1)
        assert not server_task.terminated
        await occupying_socket.close()
        await curio.sleep(0.5)
        status, _ = await Client(address).request("GET", "/", None, 2.0)
        await server_task.cancel()
        return status

    assert curio.run(run) == HTTPStatus.OK


def test_limited_connections_leave_room_for_others() -> None:
    """Users' connections must not take all connections from workers."""

    async def main(address: tuple[str, int]) -> None:
        clients = [Client(address) for _ in range(4)]
        statuses = [(await client.request("GET", "/guest", None, 2.0))[0] for client in clients]
        assert statuses == [
            HTTPStatus.OK,
            HTTPStatus.OK,
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.SERVICE_UNAVAILABLE,
        ]
        assert (await Client(address).request("GET", "/report", None, 2.0))[0] == HTTPStatus.OK
        await clients[0].close()
        await curio.sleep(0.1)
        assert (await clients[2].request("GET", "/guest", None, 2.0))[0] == HTTPStatus.OK

    run_with_server(main, max_limited=2)


def test_peer_connections_carry_tagged_tuples_and_drop_anything_else() -> None:
    async def run() -> None:
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
        await probe.close()
        received: list[tuple[Any, ...]] = []

        async def receive(message: tuple[Any, ...]) -> None:
            if message[0] == "bad":
                raise ValueError("on purpose")
            received.append(message)

        listener_task = await curio.spawn(
            peer_transport.PeerListener(receive, 5.0).run, address, daemon=True
        )
        connection = peer_transport.PeerConnection(address, 0.2)
        connection_task = await curio.spawn(connection.run, daemon=True)
        await curio.sleep(0.1)
        await connection.send(peer_transport.encode_frame(("bad",)))
        await connection.send(peer_transport.encode_frame(("ping", "hive-0", 7)))
        await send_raw(address, b"\x00\x00\x00\x01\xff")
        await send_raw(address, b"\xff\xff\xff\xff")
        await connection.send(peer_transport.encode_frame(("ping", "hive-0", 8)))
        await curio.sleep(0.2)
        assert (
            peer_transport.encode_frame(("big", "x" * peer_transport.MAX_MESSAGE_BYTES)) == b""
        ), "the receiver would close the connection"
        assert received == [("ping", "hive-0", 7), ("ping", "hive-0", 8)]
        await connection_task.cancel()
        await listener_task.cancel()

    curio.run(run)


def test_token_bucket_keeps_its_reserve_for_higher_priorities() -> None:
    """Under overload leases come first, then decisions, submissions last."""
    bucket = TokenBucket(10.0)
    users = sum(bucket.take(0.0, 1, reserve=0.3) for _ in range(20))
    decisions = sum(bucket.take(0.0, 1, reserve=0.1) for _ in range(20))
    leases = sum(bucket.take(0.0, 1) for _ in range(20))
    assert (users, decisions, leases) == (7, 2, 1)
    assert bucket.wait_s(0.0, 1, 0.3) == pytest.approx(0.4)
    assert bucket.take(0.41, 1, 0.3)
