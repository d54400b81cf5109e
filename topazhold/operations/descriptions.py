"""Operations in words, for people: by the names that the command `duties` shows."""

from __future__ import annotations

from typing import NamedTuple

from topazhold.operations.records import (
    CleanupRecord,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
)

#: Names of machines in a line of text, at the most.
MAX_SHOWN_NAMES = 4


class Description(NamedTuple):
    """An operation's kind, and what it is about."""

    kind: str
    text: str


def describe(record: OperationRecord) -> Description:
    """What an operation is to do, in one line."""
    if isinstance(record, ScaleInRecord):
        names = list(record.machines)
        shown = ", ".join(f"{name} ({record.machines[name]})" for name in names[:MAX_SHOWN_NAMES])
        more = f" and {len(names) - MAX_SHOWN_NAMES} more" if len(names) > MAX_SHOWN_NAMES else ""
        return Description("return", shown + more)
    if isinstance(record, ScaleOutRecord):
        price = "spot" if record.spot else "ordinary"
        machines = f"{record.count} {price} {record.machine_type} in {record.zone}"
        return Description("rental", f"{record.request}: {machines}")
    assert isinstance(record, CleanupRecord)
    return Description("clean-up", f"{len(record.parts)} parts of {record.job}")
