"""Pure functions that choose the open operations for the next requests to the cloud."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from topazhold.core.autoscaling import MAX_RELEASED_MACHINES
from topazhold.operations.cloud_operations import ScaleInOperation, ScaleOutOperation

#: Number of unanswered requests after which a scale-out no longer blocks others.
MAX_BLOCKING_REQUESTS = 6
#: Maximum unanswered scale-outs; no further ones are decided until one is answered.
MAX_OPEN_SCALE_OUTS = 8


@dataclass(frozen=True)
class ReleaseRequest:
    """The machines of one release request to the cloud."""

    names: list[str]
    repeated: bool  # whether any of them was requested before in this term


class DueRelease(NamedTuple):
    """A machine to release; required releases sort before deferrable ones."""

    deferrable: bool
    name: str
    operation: ScaleInOperation


def due_releases(
    operations: Iterable[ScaleInOperation],
    must_be_released: Callable[[str], bool],
    only_required: bool,
) -> list[DueRelease]:
    """Return the machines of the next release request, at most as many as the protocol allows.

    With `only_required`, deferrable releases are left out.
    """
    due = [
        DueRelease(not must_be_released(name), name, operation)
        for operation in operations
        for name in operation.remaining_machines
    ]
    if only_required:
        due = [release for release in due if not release.deferrable]
    due.sort(key=lambda release: (release.deferrable, release.name))
    return due[:MAX_RELEASED_MACHINES]


def may_scale_out(unanswered: Sequence[ScaleOutOperation]) -> bool:
    """Return whether another scale-out may be decided.

    Open ones must be answered first, unless they have been requested without success too often.
    """
    blocking = [each for each in unanswered if each.request_count < MAX_BLOCKING_REQUESTS]
    return not blocking and free_scale_out_slots(unanswered) > 0


def free_scale_out_slots(unanswered: Sequence[ScaleOutOperation]) -> int:
    """Return how many more scale-outs may be open at the same time."""
    return max(0, MAX_OPEN_SCALE_OUTS - len(unanswered))
