"""Access to the key-value store, as far as cloud operations use it, and what requests carry.

Requests fail as `store_errors` says.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

from topazhold.wire.key_value_store import Entry

#: Shares of the request limit that lower priorities must leave to higher ones.
LEASE_PRIORITY = 0.0
DECISION_PRIORITY = 0.1
USER_PRIORITY = 0.3


class Precondition(NamedTuple):
    """A key must have this revision, 0 for a key that does not exist."""

    key: str
    revision: int


class Store(Protocol):
    """Reads and compare-and-swap; every request raises KeyValueStoreError, in one of its kinds."""

    async def get(self, key: str, priority: float = ...) -> Entry | None:
        """A key's entry, or None if the key does not exist."""
        ...

    async def entries(self, prefix: str, priority: float = ...) -> tuple[list[Entry], int]:
        """All entries under a prefix, and the revision of the first page."""
        ...

    async def compare_and_swap(
        self,
        preconditions: Sequence[Precondition],
        operations: Sequence[dict[str, Any]],
        priority: float,
    ) -> int:
        """Carry out all operations if all preconditions hold; the new revision.

        Raises PreconditionFailedError if one of them does not hold.
        """
        ...
