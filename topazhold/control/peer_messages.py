"""Messages between controllers: a tagged tuple of a fixed length for each kind.

Tags and the order of members are part of the protocol with earlier versions. No member can be
appended to a kind, since receivers unpack it by its length.
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
KNOWN = "known"


class Ping(NamedTuple):
    """Shows that a controller is alive, and what it knows of the leader and of cancellations."""

    tag: str
    node: str
    term: int
    leader: str
    silent_machines: Any  # packed names of machines without heartbeats; None if not leader
    store_available: bool  # whether the sender has access to the store
    can_enforce: bool  # always False; an earlier version that reads True renews leases for ever
    cancellation_record: list[Any]  # incarnation, last number, whether it is complete
    receipts: dict[str, list[Any]]  # by peer: incarnation, last number received


class Cancelled(NamedTuple):
    """Cancellations, numbered within the sender's record: those above `after`, up to `upto`."""

    tag: str
    node: str
    incarnation: str
    after: int
    upto: int
    entries: list[Any]


class Receipt(NamedTuple):
    """Acknowledges all cancellations of an incarnation's record up to a number."""

    tag: str
    node: str
    incarnation: str
    upto: int


class Placed(NamedTuple):
    """Placement hints of a term's leader: [machine, endpoint, jobs; None if it is gone]."""

    tag: str
    term: int
    items: list[Any]


class Relay(NamedTuple):
    """Workers' heartbeats that a follower forwards to the leader."""

    tag: str
    term: int
    heartbeats: list[Any]


class Summary(NamedTuple):
    """The leader's summaries of zones and jobs."""

    tag: str
    term: int
    values: Any


class Released(NamedTuple):
    """Machines whose release the cloud has confirmed and that has no stored record."""

    tag: str
    node: str
    machines: list[str]


class Known(NamedTuple):
    """Until when the sender knows all confirmed cancellations, and which record shows them.

    The receiver knows as much once it has all entries of the record. Times are wall-clock times.
    """

    tag: str
    node: str
    incarnation: str
    last: int  # number of the record's last entry
    known_until: float
    sent_at: float
    store_refusals: list[float] | None  # times between which the store refused the sender
