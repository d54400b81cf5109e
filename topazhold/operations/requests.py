"""Which open operations the next requests to the cloud are made for: pure functions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from topazhold.core.autoscaling import MAX_RELEASED_MACHINES
from topazhold.operations.cloud_operations import ScaleInOperation, ScaleOutOperation

#: Requests without an answer after which a scale-out no longer holds up others.
MAX_BLOCKING_REQUESTS = 6
#: Scale-outs without an answer, at the most; beyond, nothing more is requested.
MAX_OPEN_SCALE_OUTS = 8


@dataclass(frozen=True)
class ReleaseRequest:
    """Machines to name in one release request to the cloud."""

    names: list[str]
    repeated: bool  # whether some of it was requested before in this term


class DueRelease(NamedTuple):
    """A machine that is to be released; in ascending order those that must go come first."""

    deferrable: bool
    name: str
    operation: ScaleInOperation


def due_releases(
    operations: Iterable[ScaleInOperation],
    must_be_released: Callable[[str], bool],
    only_required: bool,
) -> list[DueRelease]:
    """The machines of the next release request, as many as the protocol takes.

    `only_required`: those that may wait are left out.
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
    """Whether more may be requested: what is under way must first be answered, within bounds."""
    blocking = [each for each in unanswered if each.request_count < MAX_BLOCKING_REQUESTS]
    return not blocking and free_scale_out_slots(unanswered) > 0


def free_scale_out_slots(unanswered: Sequence[ScaleOutOperation]) -> int:
    """How many more scale-outs may be open at the same time."""
    return max(0, MAX_OPEN_SCALE_OUTS - len(unanswered))
