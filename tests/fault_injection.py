"""Triggers a fault at a chosen point of a cloud operation, such as a pause of its sender."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from topazhold.io.http import NoResponseError
from topazhold.operations.records import SCALE_IN_PREFIX, SCALE_OUT_PREFIX

#: When the trigger fires: the record arrives at the store (and is refused), the record is
#: written, the request arrives at the cloud (and is held back), the request is executed.
TRIGGER_POINTS = ["before_record", "after_record", "before_answer", "after_answer"]
#: Path of the cloud request and key prefix of the record, by kind of operation.
OPERATION_KINDS = {
    "return": ("/machines/release", SCALE_IN_PREFIX),
    "rental": ("/machines", SCALE_OUT_PREFIX),
}


class OperationTrigger:
    """Intercepts requests to the store and the cloud, and fires once, at the first operation.

    `action` is called with the controller that sent the operation. The request held back at
    `before_answer` is executed after `delay_s` seconds.
    """

    def __init__(
        self,
        hosts: dict[str, Any],
        point: str,
        kind: str,
        action: Callable[[str], None],
        delay_s: float,
    ) -> None:
        self._point, self._action, self._delay_s = point, action, delay_s
        self._path, self._prefix = OPERATION_KINDS[kind]
        self.source: str | None = None  # the controller whose operation fired the trigger
        self._store = hosts[FakeKeyValueStore.HOST]
        self._cloud = hosts[FakeCloud.HOST]
        hosts[FakeKeyValueStore.HOST] = self._on_store
        hosts[FakeCloud.HOST] = self._on_cloud

    def _fire(self, source: str, point: str) -> bool:
        if self.source is not None or point != self._point:
            return False
        self.source = source
        self._action(source)
        return True

    async def _on_store(self, source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        changes = body["then"] if path == "/multi" else []
        is_operation = any(
            str(change.get("put", "")).startswith(self._prefix) for change in changes
        )
        if is_operation and self._fire(source, "before_record"):
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        answer: tuple[int, Any] = await self._store(source, method, path, body)
        if is_operation and answer[0] == HTTPStatus.OK:
            self._fire(source, "after_record")
        return answer

    async def _on_cloud(self, source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        is_operation = method == "POST" and path == self._path
        if is_operation and self._fire(source, "before_answer"):
            await curio.spawn(self._execute_late, source, method, path, body, daemon=True)
            raise NoResponseError("held back by the network")
        answer: tuple[int, Any] = await self._cloud(source, method, path, body)
        if is_operation:
            self._fire(source, "after_answer")
        return answer

    async def _execute_late(self, *request: Any) -> None:
        await curio.sleep(self._delay_s)
        await self._cloud(*request)
