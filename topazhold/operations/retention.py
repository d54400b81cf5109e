"""A pure function that selects the records of ended operations to remove."""

from __future__ import annotations

from collections.abc import Sequence

from topazhold.operations.cloud_operations import AnyOperation, ScaleInOperation

#: Maximum confirmed scale-ins whose records are kept; the oldest are removed first.
MAX_RETAINED_SCALE_INS = 256


def removable(
    confirmed: Sequence[AnyOperation], retention_s: float, now: float
) -> list[AnyOperation]:
    """Return the operations whose records are to be removed; `confirmed` is oldest first.

    The record of a scale-in is kept for `retention_s` seconds: the machine list lags behind, and
    without the record a successor would consider the machine present and release it again.
    """
    scale_ins = [operation for operation in confirmed if isinstance(operation, ScaleInOperation)]
    excess = {
        operation.key for operation in scale_ins[: max(0, len(scale_ins) - MAX_RETAINED_SCALE_INS)]
    }
    return [
        operation
        for operation in confirmed
        if not isinstance(operation, ScaleInOperation)
        or now - operation.confirmed_at > retention_s
        or operation.key in excess
    ]
