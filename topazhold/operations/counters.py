"""Totals of one term's cloud operations, logged when the term ends."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class OperationCounters:
    """Numbers of operations and requests of a term, by outcome."""

    decided: int = 0
    adopted: int = 0  # left open by an earlier term
    superseded: int = 0  # releases dropped because a later term has used the machine
    bypassed: int = 0  # sent before their record could be written
    withdrawn: int = 0  # scale-outs not sent because the cloud has no more machines of the kind
    requests: int = 0
    repeated: int = 0  # requests for operations that were sent before in this term
    confirmed: int = 0
    closed: int = 0
    refused: int = 0  # their records cannot be stored
    unreadable: int = 0  # stored records that cannot be decoded

    def count_request(self, repeated: bool) -> None:
        """Count a request; `repeated` if its operation was sent before in this term."""
        self.requests += 1
        self.repeated += repeated
