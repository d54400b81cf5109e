"""When the record of an operation that is over may be removed: a pure function."""

from __future__ import annotations

from collections.abc import Sequence

from topazhold.operations.cloud_operations import AnyOperation, ScaleInOperation

#: Scale-ins that are kept after their end; the oldest go first.
MAX_RETAINED_SCALE_INS = 256


def removable(
    confirmed: Sequence[AnyOperation], retention_s: float, now: float
) -> list[AnyOperation]:
    """Of the confirmed operations, oldest first, those whose records are to be removed now.

    A scale-in is kept for `retention_s` seconds: the machine list is late, and a successor that
    knew nothing of it would take the machine for one that is there, and release it once more.
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
