"""The key-value store interface that cloud operations use.

Its errors are in `store_errors`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

from topazhold.wire.key_value_store import Entry

#: Request priorities: the share of the request limit that a request must leave to requests of
#: higher priority. 0 is the highest priority.
LEASE_PRIORITY = 0.0
DECISION_PRIORITY = 0.1
USER_PRIORITY = 0.3


class Precondition(NamedTuple):
    """The revision that a key must have; 0 means that the key must not exist."""

    key: str
    revision: int


class Store(Protocol):
    """Reads and compare-and-swap; a failed request raises a subclass of KeyValueStoreError."""

    async def get(self, key: str, priority: float = ...) -> Entry | None:
        """Return a key's entry, or None if the key does not exist."""
        ...

    async def entries(self, prefix: str, priority: float = ...) -> tuple[list[Entry], int]:
        """Return all entries under a prefix and the revision of the first page."""
        ...

    async def compare_and_swap(
        self,
        preconditions: Sequence[Precondition],
        operations: Sequence[dict[str, Any]],
        priority: float,
    ) -> int:
        """Apply all operations if all preconditions hold, and return the new revision.

        Raises PreconditionFailedError if a precondition does not hold.
        """
        ...
