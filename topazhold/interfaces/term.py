"""The interface of a leader's term that cloud operations use."""

from __future__ import annotations

from typing import Protocol

from topazhold.core.intent_shards import IntentShard, IntentShards
from topazhold.core.jobs import Job
from topazhold.core.scheduler import Scheduler
from topazhold.interfaces.store import Precondition, Store

#: Maximum size of all values of a transaction, in bytes; the store limits the whole transaction
#: to 64 KiB.
MAX_TXN_VALUE_BYTES = 48 * 1024


class LeadershipLostError(Exception):
    """The term is over: another controller may be the leader."""


class LeaseIsValid(Protocol):
    """Returns whether the lease rules out another leader at a monotonic time in seconds."""

    def __call__(self, now: float, /) -> bool: ...


class JobCleanup(Protocol):
    """Called with each ended job to remove its leftover data from the store."""

    def __call__(self, job: Job, /) -> None: ...


class Term(Protocol):
    """The state of a leader's term; times are in seconds of the monotonic clock."""

    clean_up: JobCleanup

    @property
    def node(self) -> str:
        """The name of this controller."""
        ...

    @property
    def term(self) -> int:
        """The term's number, its fencing token."""
        ...

    @property
    def revision(self) -> int:
        """The revision of the leader key."""
        ...

    @property
    def store(self) -> Store:
        """Access to the key-value store."""
        ...

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of the term."""
        ...

    @property
    def shards(self) -> IntentShards:
        """The shards of the stored intents."""
        ...

    @property
    def heartbeat_interval_s(self) -> float:
        """The interval between two heartbeats of a worker."""
        ...

    @property
    def retry_s(self) -> float:
        """The pause before a failed operation is retried."""
        ...

    @property
    def max_value_bytes(self) -> int:
        """The maximum size of a stored value, in bytes."""
        ...

    @property
    def max_txn_ops(self) -> int:
        """The maximum number of puts and deletes in a transaction."""
        ...

    @property
    def lease_is_valid(self) -> LeaseIsValid:
        """The check whether the leader's lease is valid at a given time."""
        ...

    def preconditions(self) -> list[Precondition]:
        """Return the preconditions of every transaction of the term; they fail once it is over."""
        ...

    async def request_plan(self) -> None:
        """Request a planning round after a change."""
        ...


class IntentPruner(Protocol):
    """Removes obsolete intents."""

    async def prune(self, shards: set[IntentShard]) -> None:
        """Remove the intents of machines that are gone; a successor retries removals that fail."""
        ...
