"""Messages of the users', workers' and cloud's interfaces."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any

import msgspec
from msgspec import field

JOBS_PATH = "/api/jobs"
CANCEL_END = "/cancel"
HEALTH_PATH = "/healthz"
HEARTBEAT_PATH = "/v1/report"
COMMANDS_PATH = "/commands"
STATUS_PATH = "/status"
CATALOG_PATH = "/catalog"
MACHINES_PATH = "/machines"
RELEASE_PATH = "/machines/release"
STORE_PATH = "/store"
TRANSACTION_PATH = "/multi"
LEASES_PATH = "/grants"
RENEW_END = "/touch"
WATCH_PATH = "/watch"

PENDING = "pending"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

GANG = "gang"
BATCH = "batch"
DAEMON = "daemon"  # a service: replicas that run until the user cancels the job
URGENCIES = ("critical", "urgent", "normal", "best_effort")
MAX_TASKS = 100_000
MAX_NAME_LENGTH = 200
BODY_LIMIT = 64 * 1024

PULLING = "pulling"
GATHERING = "gathering"
FLUSHING = "flushing"
ENDED = "ended"

LAUNCH = "launch"
KILL = "kill"
CLEAR = "clear"

CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_NO_CAPACITY = "no_room"
CAUSE_UNKNOWN = "unknown"

LISTED_FAILED = "failed"

#: Task names whose parts are remembered: every report names all tasks of its machine, and
#: a large fleet has tens of thousands.
MAX_NAMES = 32_768

_JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")


class JobSpec(msgspec.Struct, omit_defaults=True):
    """What a user asks for."""

    id: str
    job_class: str = field(name="lane")
    team: str = field(name="crew")
    shape: str
    urgency: str
    tasks: int = field(name="frames")
    cpus: float = field(name="vcpus")  # of each task, as are the next two
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    image: str = field(name="comb")
    image_gb: float
    same_place: bool
    scatter: bool
    spot: bool = field(name="drones")  # whether spot machines may be used
    estimated_run_s: float = field(name="forage_s")
    checkpoint_s: float = field(name="cap_s")  # interval of checkpoints; 0: none
    save_s: float = field(name="seal_s")
    machine_types: list[str] | None = field(name="breeds", default=None)
    zone: str | None = field(name="apiary", default=None)
    deadline_s: float | None = field(name="bloom_s", default=None)

    @property
    def gang(self) -> bool:
        """Whether all tasks run at the same time or none does."""
        return self.shape == GANG

    @property
    def service(self) -> bool:
        """Whether the tasks are replicas that run until the job is cancelled."""
        return self.shape == DAEMON

    @property
    def needs_all(self) -> bool:
        """Whether the team's limit must take all tasks at the same time."""
        return self.gang or self.service

    def fault(self) -> str | None:
        """The first field that is out of its range, or None."""
        for name in ("id", "job_class", "team", "image"):
            if not 0 < len(getattr(self, name)) <= MAX_NAME_LENGTH:
                return name
        if not valid_job_id(self.id):
            return "id"
        if self.shape not in (GANG, BATCH, DAEMON):
            return "shape"
        if self.urgency not in URGENCIES:
            return "urgency"
        if not 1 <= self.tasks <= MAX_TASKS:
            return "tasks"
        for name in _AMOUNTS:
            if getattr(self, name) < 0:
                return name
        if self.deadline_s is not None and self.deadline_s < 0:
            return "deadline_s"
        return None


#: Fields of a job, as they are stored, that nobody needs once it is over: left out, or
#: cut short where every job must have one.
UNUSED_WHEN_OVER = ("breeds", "apiary", "bloom_s")
NAMES_UNUSED_WHEN_OVER = ("lane", "comb")

#: Fields of a job that can't be negative.
_AMOUNTS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimated_run_s",
    "checkpoint_s",
    "save_s",
)


class TaskStatus(msgspec.Struct):
    """One task as its worker sees it."""

    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    state: str = field(name="stage")
    cause: str | None = None
    kept: bool | None = None  # whether its progress was saved


class Heartbeat(msgspec.Struct):
    """What a worker tells about its machine."""

    machine: str = field(name="box")
    endpoint: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    spot: bool = field(name="drones")
    incarnation: int = field(name="flight")
    sequence: int = field(name="tally")
    fencing_token: int = field(name="crown")  # the highest that it has seen
    tasks: list[TaskStatus] = field(name="frames")
    notice_s: float | None = field(name="smoke_s", default=None)


class Command(msgspec.Struct, omit_defaults=True):
    """A command to a worker."""

    kind: str = field(name="call")
    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    grace_s: float | None = field(name="settle_s", default=None)


def launch(task_name: str, attempt_number: int) -> Command:
    """Start a task."""
    return Command(LAUNCH, task_name, attempt_number)


def kill(task_name: str, attempt_number: int, grace_s: float) -> Command:
    """Stop a task; it saves if there is time for it."""
    return Command(KILL, task_name, attempt_number, grace_s)


def clear(task_name: str, attempt_number: int) -> Command:
    """Remove an ended task from the worker's reports."""
    return Command(CLEAR, task_name, attempt_number)


class Commands(msgspec.Struct, omit_defaults=True):
    """Commands, with the right to give them."""

    fencing_token: int = field(name="crown")
    commands: list[Command] = field(name="calls")
    incarnation: int | None = field(name="flight", default=None)


class MachineType(msgspec.Struct):
    """A machine type of the cloud."""

    name: str = field(name="label")
    cpus: float = field(name="vcpus")
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    price: float = field(name="hourly")
    boot_s: float = field(name="ready_s")
    zones: list[str] = field(name="apiaries")
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    spot_price: float | None = field(name="market_price", default=None)


class Catalog(msgspec.Struct):
    """All machine types."""

    machine_types: list[MachineType] = field(name="breeds")


class ListedMachine(msgspec.Struct):
    """A machine in the cloud's list."""

    id: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    state: str = field(name="stage")
    spot: bool = field(name="drones", default=False)
    endpoint: str | None = None
    age_s: float = 0.0


class MachinePage(msgspec.Struct):
    """A part of the cloud's list."""

    machines: list[ListedMachine] = field(name="boxes")
    truncated: bool = False


class Rented(msgspec.Struct):
    """The answer to a rental request."""

    machines: list[str] = field(name="boxes")


class Entry(msgspec.Struct):
    """A key of the state service."""

    key: str
    data: Any
    revision: int = field(name="mark")
    lease_id: int | None = field(name="permit", default=None)


class EntryPage(msgspec.Struct):
    """A part of the entries under a prefix."""

    entries: list[Entry]
    revision: int = field(name="harvest")
    truncated: bool = False


class WatchPage(msgspec.Struct):
    """Changes since a revision."""

    revision: int = field(name="harvest")
    events: list[dict[str, Any]]


class LeaseGranted(msgspec.Struct):
    """A new lease."""

    lease_id: int = field(name="permit")


class Committed(msgspec.Struct):
    """The outcome of a transaction."""

    revision: int = field(name="harvest")
    failed: list[str] = []


def valid_job_id(text: str) -> bool:
    """Whether a text has the form of job ids."""
    return _JOB_ID.match(text) is not None


def task_name_of(job: str, index: int) -> str:
    """The name of a job's task."""
    return f"{job}/{index}"


@lru_cache(maxsize=MAX_NAMES)
def split_task_name(task_name: str) -> tuple[str, int] | None:
    """Job and number of a task name, or None if it is none."""
    job, _, number = task_name.rpartition("/")
    if not valid_job_id(job) or not number.isdecimal() or len(number) > 6:
        return None
    return job, int(number)


def job_answer(job: str, state: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """What a user is told of a job."""
    return {"id": job, "stage": state, "done": done, "running": running}


def redirect(leader: str | None) -> dict[str, Any]:
    """The body that sends a worker to the leader."""
    return {"queen": leader} if leader else {}


def rent_body(request: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """A rental request; its name is never used again."""
    return {
        "swarm_ask": request,
        "breed": machine_type,
        "apiary": zone,
        "drones": spot,
        "count": count,
    }


def release_body(names: list[str]) -> dict[str, Any]:
    """A request to release machines."""
    return {"boxes": names}


def list_query(after: str | None, limit: int) -> str:
    """The target that lists machines."""
    return f"{MACHINES_PATH}?most={limit}" + (f"&from={after}" if after else "")


def store_query(prefix: str, after: str | None, limit: int) -> str:
    """The target that lists entries of the state service."""
    return f"{STORE_PATH}?under={prefix}&most={limit}" + (f"&from={after}" if after else "")


def watch_query(prefix: str, since: int, block_ms: int) -> str:
    """The target that waits for changes under a prefix."""
    return f"{WATCH_PATH}?under={prefix}&from={since}&block_ms={block_ms}"


def condition(key: str, revision: int) -> dict[str, Any]:
    """A transaction's condition: the key has this revision (0: it does not exist)."""
    return {"key": key, "mark": revision}


def put(key: str, data: Any, lease_id: int | None = None) -> dict[str, Any]:
    """A transaction's operation that writes a value."""
    operation = {"put": key, "data": data}
    if lease_id is not None:
        operation["permit"] = lease_id
    return operation


def drop(key: str) -> dict[str, Any]:
    """A transaction's operation that removes a key."""
    return {"drop": key}


def changed_key(operation: dict[str, Any]) -> str:
    """The key that an operation changes."""
    return str(operation.get("put") or operation["drop"])


def transaction_body(
    conditions: list[dict[str, Any]], operations: list[dict[str, Any]]
) -> dict[str, Any]:
    """A transaction."""
    return {"guards": conditions, "then": operations}


def event_key(event: dict[str, Any]) -> tuple[str, Any, int]:
    """Key, value (None for a drop) and revision of a watch event."""
    if "put" in event:
        return event["put"], event.get("data"), event.get("mark", 0)
    return event["drop"], None, event.get("mark", 0)


def lease_body(ttl_ms: int) -> dict[str, Any]:
    """A request for a lease."""
    return {"ttl_ms": ttl_ms}
