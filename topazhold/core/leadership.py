"""A controller's role, and the leader and term that it knows of.

The leader holds a leased key in the key-value store. Terms are numbered, and the term number is
the fencing token that workers check. It is also stored in a second key without a lease: both
keys are written in one compare-and-swap, so each number is used once. Every transaction of a
term has the leased key's revision as a precondition, so it fails once the term is over.

The stored keys and fields keep the names of the first version.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

LEADER_KEY = "queen/now"
TERM_KEY = "crown/last"


class Role(Enum):
    """Role of a controller in the election."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Leadership:
    """The controller's role, and the newest term that it knows of."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.role = Role.FOLLOWER
        self.leader: str | None = None  # name of the leading controller
        self.term = 0  # newest term known

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads."""
        return self.role is Role.LEADER

    def become_candidate(self) -> None:
        """Become a candidate, because the leased key is free."""
        if self.role is Role.FOLLOWER:
            self.role = Role.CANDIDATE

    def become_leader(self, term: int) -> None:
        """Become the leader, after the election transaction was committed."""
        self.role = Role.LEADER
        self.leader = self.node
        self.term = max(term, self.term)

    def become_follower(self) -> bool:
        """Give up the role; return whether this controller was the leader."""
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        if self.leader == self.node:
            self.leader = None
        return was_leader

    def observe_term(self, leader: str, term: int) -> bool:
        """Record a leader and its term; return True if that ends this controller's own term."""
        if term < self.term or (term == self.term and self.is_leader):
            return False
        ended = self.is_leader and term > self.term
        if ended:
            self.become_follower()
        self.term = term
        self.leader = leader
        return ended

    def mark_vacant(self, term: int | None = None) -> None:
        """Record that the leased key of `term`, or of any term if None, no longer exists."""
        if self.role is Role.LEADER:
            return
        if term is None or term >= self.term:
            self.leader = None

    def leader_value(self, term: int) -> dict[str, Any]:
        """Return the value of the leased key."""
        return {"node": self.node, "crown": term}


def read_leader_value(data: Any) -> tuple[str, int] | None:
    """Read the leader's name and term from the leased key's value; None if it is invalid."""
    if not isinstance(data, dict):
        return None
    node, term = data.get("node"), data.get("crown")
    if isinstance(node, str) and isinstance(term, int) and not isinstance(term, bool):
        return node, term
    return None
