"""Who is leader, as one controller knows it.

The leader has a leased key in the key-value store. Its terms are numbered; the number is the
fencing token that workers check. It is kept in a second key that is never leased: both are
written in one compare-and-swap, so a number is given once. Every transaction of a term has the
leased key's revision as a precondition, so a late one fails once the term is over.

The stored keys and fields keep the names of the first version.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

LEADER_KEY = "queen/now"
TERM_KEY = "crown/last"


class Role(Enum):
    """What a controller is in the election."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Leadership:
    """The controller's role, and the newest term that it knows of."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.role = Role.FOLLOWER
        self.leader: str | None = None  # name of the controller that leads
        self.term = 0  # newest term known

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads."""
        return self.role is Role.LEADER

    def become_candidate(self) -> None:
        """The leased key is free: try for it."""
        if self.role is Role.FOLLOWER:
            self.role = Role.CANDIDATE

    def become_leader(self, term: int) -> None:
        """The election transaction was carried out."""
        self.role = Role.LEADER
        self.leader = self.node
        self.term = max(term, self.term)

    def become_follower(self) -> bool:
        """Give up the role; whether this controller has led."""
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        if self.leader == self.node:
            self.leader = None
        return was_leader

    def observe_term(self, leader: str, term: int) -> bool:
        """Take note of a term; True if it ends this controller's own."""
        if term < self.term or (term == self.term and self.is_leader):
            return False
        ended = self.is_leader and term > self.term
        if ended:
            self.become_follower()
        self.term = term
        self.leader = leader
        return ended

    def mark_vacant(self, term: int | None = None) -> None:
        """The leased key of term `term`, or of any, is gone."""
        if self.role is Role.LEADER:
            return
        if term is None or term >= self.term:
            self.leader = None

    def leader_value(self, term: int) -> dict[str, Any]:
        """The leased key's value."""
        return {"node": self.node, "crown": term}


def read_leader_value(data: Any) -> tuple[str, int] | None:
    """The leader's name and term out of the leased key's value; None if it is none."""
    if not isinstance(data, dict):
        return None
    node, term = data.get("node"), data.get("crown")
    if isinstance(node, str) and isinstance(term, int) and not isinstance(term, bool):
        return node, term
    return None
