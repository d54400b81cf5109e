"""Makes the records of a term's decisions, each within what a record takes."""

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
    """Numbers the records of one term; no number, token or request name is used twice.

    Times named `wall` are of the time of day, in seconds.
    """

    def __init__(self, node: str, term: int) -> None:
        self._node = node
        self._term = term
        self._number = 0

    def _header(self, wall: float) -> dict[str, Any]:
        """The fields that all records share, with the term's next number."""
        self._number += 1
        token = f"d{self._term}-{self._number}"
        return {"by": token, "term": self._term, "number": self._number, "at": max(0.0, wall)}

    def scale_in(self, machines: dict[str, str], wall: float) -> ScaleInRecord:
        """Of machines, given with their reasons: a portion of `split_machines`."""
        return ScaleInRecord(**self._header(wall), machines=machines)

    def scale_out(self, request: ScaleOutRequest, wall: float) -> ScaleOutRecord:
        """Of a request, under a name that is its own."""
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
        """Of parts of an ended job's completion bitmap, or of the first `MAX_PARTS`."""
        return CleanupRecord(**self._header(wall), job=job, parts=sorted(parts)[:MAX_PARTS])
