"""Totals of one term's cloud operations, for its last log line."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class OperationCounters:
    """How many operations of a term, and requests for them, came to what."""

    decided: int = 0
    adopted: int = 0  # left open by an earlier term
    superseded: int = 0  # of a machine that a later term than the operation's has used
    bypassed: int = 0  # sent before their record could be written
    withdrawn: int = 0  # scale-outs that were not sent, since the cloud has no more of the kind
    requests: int = 0
    repeated: int = 0  # requests that were made before in this term
    confirmed: int = 0
    closed: int = 0
    refused: int = 0  # their records can't be stored
    unreadable: int = 0  # stored records that can't be read

    def count_request(self, repeated: bool) -> None:
        """A request is about to be sent; `repeated`: not for the first time in this term."""
        self.requests += 1
        self.repeated += repeated
