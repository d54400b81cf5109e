"""Creates the records of a term's operations, within the limits of a record."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.records import (
    MAX_NAME_LENGTH,
    MAX_PARTS,
    CleanupRecord,
    ScaleInRecord,
    ScaleOutRecord,
)


class RecordFactory:
    """Creates the records of one term; numbers, tokens and request names are unique.

    Times named `wall` are wall-clock times in seconds.
    """

    def __init__(self, node: str, term: int) -> None:
        self._node = node
        self._term = term
        self._number = 0

    def _header(self, wall: float) -> dict[str, Any]:
        """Return the fields that all records share, with the term's next number."""
        self._number += 1
        token = f"d{self._term}-{self._number}"
        return {"by": token, "term": self._term, "number": self._number, "at": max(0.0, wall)}

    def scale_in(self, machines: dict[str, str], wall: float) -> ScaleInRecord:
        """Return the record of a release; `machines` is a batch of `split_machines`."""
        return ScaleInRecord(**self._header(wall), machines=machines)

    def scale_out(self, request: ScaleOutRequest, wall: float) -> ScaleOutRecord:
        """Return the record of a request for machines, under a unique request name."""
        header = self._header(wall)
        suffix = f"-{self._term}-{self._number}"
        return ScaleOutRecord(
            **header,
            request=self._node[: MAX_NAME_LENGTH - len(suffix)] + suffix,
            machine_type=request.machine_type,
            zone=request.zone,
            spot=request.spot,
            count=request.count,
        )

    def cleanup(self, job: str, parts: Iterable[int], wall: float) -> CleanupRecord:
        """Return the record of a clean-up of bitmap parts, of at most the first `MAX_PARTS`."""
        return CleanupRecord(**self._header(wall), job=job, parts=sorted(parts)[:MAX_PARTS])
