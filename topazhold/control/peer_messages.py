"""What controllers tell one another: a tagged tuple of a fixed length for each kind.

The tags and the order of the members are those that earlier versions know; nothing can be
added at the end of a kind, since its receivers take it apart by its length.
"""

from __future__ import annotations

from typing import Any, NamedTuple

PING = "ping"
CANCELLED = "cancelled"
RECEIPT = "receipt"
PLACED = "placed"
RELAY = "relay"
SUMMARY = "summary"
RELEASED = "released"


class Ping(NamedTuple):
    """A controller lives, and what it knows of the leadership."""

    tag: str
    node: str
    term: int
    leader: str
    silent_machines: Any  # packed names of machines without heartbeats; None: not the leader
    store_available: bool  # whether the store answers it
    can_enforce: bool  # whether it could end tasks that others keep
    cancellation_record: list[Any]  # incarnation, last number, whether it knows all
    receipts: dict[str, list[Any]]


class Cancelled(NamedTuple):
    """Cancellations, numbered by the sender's record."""

    tag: str
    node: str
    incarnation: str
    after: int
    upto: int
    entries: list[Any]


class Receipt(NamedTuple):
    """All cancellations of a record up to a number are known."""

    tag: str
    node: str
    incarnation: str
    upto: int


class Placed(NamedTuple):
    """Where tasks may be, as the leader of a term tells it."""

    tag: str
    term: int
    items: list[Any]


class Relay(NamedTuple):
    """Workers' heartbeats that a follower took in for the leader."""

    tag: str
    term: int
    heartbeats: list[Any]


class Summary(NamedTuple):
    """The leader's summaries of zones and jobs."""

    tag: str
    term: int
    values: Any


class Released(NamedTuple):
    """Machines that the cloud has confirmed to be gone, without a record."""

    tag: str
    node: str
    machines: list[str]
