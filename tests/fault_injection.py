"""Does something to a controller at a chosen point of an order that it sends."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from topazhold.io.http import NoResponseError
from topazhold.operations.records import SCALE_IN_PREFIX, SCALE_OUT_PREFIX

#: What happened last before the trigger fires: the record arrives (and is refused), the
#: record is written, the order arrives (and is held by the network), the order is carried out.
TRIGGER_POINTS = ["before_record", "after_record", "before_answer", "after_answer"]
#: Where orders go, and under which prefix they are recorded.
OPERATION_KINDS = {
    "return": ("/machines/release", SCALE_IN_PREFIX),
    "rental": ("/machines", SCALE_OUT_PREFIX),
}


class OperationTrigger:
    """Stands in front of the key-value store and the cloud until the first order comes."""

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
        self.source: str | None = None  # whose order it was
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
            raise NoResponseError("held by the network")
        answer: tuple[int, Any] = await self._cloud(source, method, path, body)
        if is_operation:
            self._fire(source, "after_answer")
        return answer

    async def _execute_late(self, *request: Any) -> None:
        await curio.sleep(self._delay_s)
        await self._cloud(*request)
