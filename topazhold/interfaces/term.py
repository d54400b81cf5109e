"""A leader's term, as far as cloud operations use it."""

from __future__ import annotations

from typing import Protocol

from topazhold.core.intent_shards import IntentShard, IntentShards
from topazhold.core.jobs import Job
from topazhold.core.scheduler import Scheduler
from topazhold.interfaces.store import Precondition, Store

#: Bytes that values may take of a transaction, whose limit is 64 KiB in all.
MAX_TXN_VALUE_BYTES = 48 * 1024


class LeadershipLostError(Exception):
    """The term is over: another controller may be leader."""


class LeaseIsValid(Protocol):
    """Whether, at a steady clock's time in seconds, nobody else can be leader yet."""

    def __call__(self, now: float, /) -> bool: ...


class JobCleanup(Protocol):
    """Called with each job that is over, so that what it left in the store is removed."""

    def __call__(self, job: Job, /) -> None: ...


class Term(Protocol):
    """What exists for as long as a term lasts; times in seconds, by the monotonic clock."""

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
        """The revision of the leadership's key."""
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
        """The stored intents."""
        ...

    @property
    def heartbeat_interval_s(self) -> float:
        """The interval of workers' heartbeats."""
        ...

    @property
    def retry_s(self) -> float:
        """The time between two tries of what has failed."""
        ...

    @property
    def max_value_bytes(self) -> int:
        """Bytes of a stored value, at the most."""
        ...

    @property
    def max_txn_ops(self) -> int:
        """Changes of a transaction, at the most."""
        ...

    @property
    def lease_is_valid(self) -> LeaseIsValid:
        """Whether the leadership's lease holds."""
        ...

    def preconditions(self) -> list[Precondition]:
        """What every transaction of the term carries: it fails once the term is over."""
        ...

    async def request_plan(self) -> None:
        """Something changed: plan soon."""
        ...


class IntentPruner(Protocol):
    """Removes intents that are of no use any more."""

    async def prune(self, shards: set[IntentShard]) -> None:
        """Intents of machines that are gone; what fails is found by a successor."""
        ...
