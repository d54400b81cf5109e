"""Who is queen, as one controller knows it.

The queen holds a leased key in the state service. Her reign has a number, the
crown, kept in a second key that is never leased: both are written in one
conditional transaction, so a crown is given once. Every transaction of a
reign guards the leased key's mark, so a late one fails once the reign is over.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

QUEEN_KEY = "queen/now"
CROWN_KEY = "crown/last"


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    QUEEN = "queen"


class Leadership:
    """The controller's role, and the newest reign that it has heard of."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.role = Role.FOLLOWER
        self.queen: str | None = None
        self.crown = 0  # newest crown heard of

    @property
    def reigning(self) -> bool:
        return self.role is Role.QUEEN

    def stand(self) -> None:
        """The key is free: try for it."""
        if self.role is Role.FOLLOWER:
            self.role = Role.CANDIDATE

    def win(self, crown: int) -> None:
        """The election transaction was carried out."""
        self.role = Role.QUEEN
        self.queen = self.node
        self.crown = max(crown, self.crown)

    def step_down(self) -> bool:
        """Give up the role; whether there was one."""
        was = self.role is Role.QUEEN
        self.role = Role.FOLLOWER
        if self.queen == self.node:
            self.queen = None
        return was

    def learn(self, queen: str, crown: int) -> bool:
        """Hear of a reign; True if it ends this node's own."""
        if crown < self.crown or (crown == self.crown and self.reigning):
            return False
        ended = self.reigning and crown > self.crown
        if ended:
            self.step_down()
        self.crown = crown
        self.queen = queen
        return ended

    def vacant(self, crown: int | None = None) -> None:
        """The key of reign `crown` (or of any) is gone."""
        if self.role is Role.QUEEN:
            return
        if crown is None or crown >= self.crown:
            self.queen = None

    def value(self, crown: int) -> dict[str, Any]:
        return {"node": self.node, "crown": crown}


def read_value(data: Any) -> tuple[str, int] | None:
    """Name and crown out of the leased key's value."""
    if not isinstance(data, dict):
        return None
    node, crown = data.get("node"), data.get("crown")
    if isinstance(node, str) and isinstance(crown, int) and not isinstance(crown, bool):
        return node, crown
    return None
