"""Records of jobs and intents in the key-value store, key by key.

Keys and fields keep the names of the first version, so that versions work side by side.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from topazhold.core.jobs import TASKS_PER_PART, Job, JobState
from topazhold.core.machines import Machine
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, convert
from topazhold.wire.jobs import JobSpec

LIVE_PREFIX = "live/"
ENDED_PREFIX = "over/"
PART_PREFIX = "part/"
INTENTS_PREFIX = "on/"
SUMMARY_PREFIX = "sum/"
#: Of the summary's part about jobs and operations; the others are of one zone each.
SUMMARY_KEY = SUMMARY_PREFIX + "*"
RELAY_PREFIX = "relay/"

#: Share of a value's size limit that is used.
MAX_VALUE_SHARE = 0.9
#: Characters; names in the spec of a job that is over are cut to so many.
MAX_ENDED_NAME_LENGTH = 40
#: Size of one packed attempt, for the number of those on one machine that a value takes.
ATTEMPT_BYTES = 64


def live_key(job: str) -> str:
    """Of a live job."""
    return LIVE_PREFIX + job


def ended_key(job: str) -> str:
    """Of a job that is done or aborted."""
    return ENDED_PREFIX + job


def part_key(job: str, part: int) -> str:
    """Of the completion bitmap of a part, from the second on; the first is in the live value."""
    return f"{PART_PREFIX}{job}/{part:03d}"


def intents_key(shard: str) -> str:
    """Of a shard's intents."""
    return INTENTS_PREFIX + shard


def live_value(job: Job, token: str) -> dict[str, Any]:
    """A live job: its spec and the completion bitmap of its first part."""
    value = {
        "by": token,
        "spec": msgspec.to_builtins(job.spec),
        "at": job.submitted,
        "node": job.node,
        "count": job.completed_count,
    }
    bitmap = job.part_text(0)
    if bitmap:
        value["done"] = bitmap
    return value


def max_bitmap_size(spec: JobSpec) -> int:
    """Bytes by which a live value may grow with the completion bitmap of its first part."""
    if spec.service:
        return 0
    return len('"done":"",') + (min(spec.tasks, TASKS_PER_PART) + 7) // 8 * 4 // 3 + 4


def read_live_job(data: Any, revision: int, wall_time: float, steady_time: float) -> Job:
    """A job out of its live value; `wall_time` is the time of day.

    Raises:
        InvalidMessageError, TypeError, ValueError: it is none.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError("not a live job")
    spec = convert(data.get("spec"), JobSpec)
    submitted = float(data.get("at", wall_time))
    job = Job(
        spec, steady_time - max(0.0, wall_time - submitted), submitted, str(data.get("node", ""))
    )
    job.revision = revision
    if data.get("done"):
        job.load_part(0, data["done"])
    return job


def ended_value(spec: dict[str, Any], stage: str, at: float, token: str) -> dict[str, Any]:
    """A job that is over; the spec stays for tasks still on machines.

    Of the spec, only what those tasks take of machines and of their team's limit is
    needed, so the rest is cut: a live value may be larger than the key-value store takes
    by the time the job ends.
    """
    return {"by": token, "spec": _truncate_spec(spec), "stage": stage, "at": at}


def _truncate_spec(spec: Any) -> Any:
    if not isinstance(spec, dict):
        return spec
    cut = {name: value for name, value in spec.items() if name not in wire.UNUSED_WHEN_OVER}
    for name in wire.NAMES_UNUSED_WHEN_OVER:
        if isinstance(cut.get(name), str):
            cut[name] = cut[name][:MAX_ENDED_NAME_LENGTH]
    return cut


def read_ended_job(data: Any, wall_time: float, steady_time: float) -> Job:
    """A job that is over, for tasks that may still be on machines; clocks as in `read_live_job`.

    Raises:
        InvalidMessageError, TypeError, ValueError: it is none.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError("not a job that is over")
    spec = convert(data.get("spec"), JobSpec)
    at = float(data.get("at", wall_time))
    job = Job(spec, steady_time, at, "")
    if data.get("stage") == wire.DONE:
        job.state = JobState.DONE
    else:
        job.abort(steady_time - max(0.0, wall_time - at))
    return job


def completed_count(data: Any) -> int:
    """Completed tasks, for display; a record that can't be read still is an accepted job."""
    count = data.get("count", 0) if isinstance(data, dict) else 0
    return count if isinstance(count, int) else 0


def ended_stage(data: Any) -> str:
    """The protocol's stage of a job that is over; aborted if the record can't be read."""
    done = isinstance(data, dict) and data.get("stage") == wire.DONE
    return wire.DONE if done else wire.ABORTED


def ended_at(data: Any, default: float) -> float:
    """When the job ended, by the time of day."""
    at = data.get("at") if isinstance(data, dict) else None
    return float(at) if isinstance(at, int | float) else default


def intents_value(machines: Iterable[Machine], token: str) -> Any:
    """A shard's intents: all attempts that may be, or may come to be, on its machines."""
    intents = {}
    for machine in machines:
        if machine.attempts:
            machine_type = machine.machine_type.name if machine.machine_type is not None else ""
            intents[machine.name] = [
                machine.incarnation,
                machine.zone,
                machine.spot,
                machine_type,
                [
                    [attempt.job.id, attempt.index, attempt.attempt_number]
                    for attempt in machine.attempts.values()
                ],
            ]
    return {"by": token, "boxes": intents}


class AttemptIntent(NamedTuple):
    """One attempt that may be on a machine."""

    job: str
    task_index: int
    attempt_number: int


class Intents(NamedTuple):
    """All attempts that may be on one machine."""

    machine: str
    incarnation: int
    zone: str
    spot: bool
    machine_type: str
    attempts: list[AttemptIntent]


def read_intents(data: Any) -> tuple[list[Intents], list[str]]:
    """The machines of a shard, and the names of those that can't be read."""
    readable: list[Intents] = []
    unreadable: list[str] = []
    boxes = data.get("boxes") if isinstance(data, dict) else None
    for name, item in boxes.items() if isinstance(boxes, dict) else ():
        try:
            incarnation, zone, spot, machine_type, attempts = item
            intents = Intents(
                str(name),
                int(incarnation),
                str(zone),
                bool(spot),
                str(machine_type),
                [
                    AttemptIntent(str(job), int(index), int(attempt_number))
                    for job, index, attempt_number in attempts
                ],
            )
            readable.append(intents)
        except (TypeError, ValueError):
            unreadable.append(str(name))
    return readable, unreadable


def part_count(job: Job) -> int:
    """Into how many parts the job's completions are divided."""
    return (job.spec.tasks + TASKS_PER_PART - 1) // TASKS_PER_PART
