"""Messages of the user API: job submissions, states and cancellations."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any

import msgspec
from msgspec import field

JOBS_PATH = "/api/jobs"
CANCEL_SUFFIX = "/cancel"

#: States of a job.
PENDING = "pending"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

#: Shapes of a job.
GANG = "gang"
BATCH = "batch"  # a job array
DAEMON = "daemon"  # a service: replicas that run until the job is cancelled
#: Priority classes, highest first.
URGENCIES = ("critical", "urgent", "normal", "best_effort")
#: Maximum number of tasks of a job.
MAX_TASKS = 100_000
#: Maximum length of a name, in characters.
MAX_NAME_LENGTH = 200

#: Number of parsed task names that are cached: every heartbeat names all tasks of its machine,
#: and a large fleet has tens of thousands.
TASK_NAME_CACHE_SIZE = 32_768

_JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
#: Maximum number of digits of a task index.
_MAX_INDEX_DIGITS = 6

#: Stored fields of a job (protocol names) that are not needed once it has ended. Optional ones
#: are omitted from its record, required names are truncated.
FIELDS_OMITTED_WHEN_ENDED = ("breeds", "apiary", "bloom_s")
NAMES_TRUNCATED_WHEN_ENDED = ("lane", "comb")

#: Fields of a job that must not be negative.
_NON_NEGATIVE_FIELDS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimated_run_s",
    "checkpoint_s",
    "save_s",
)


class JobSpec(msgspec.Struct, omit_defaults=True):
    """A job as a user submits it; times are in seconds."""

    id: str
    job_class: str = field(name="lane")
    team: str = field(name="crew")
    shape: str
    urgency: str
    tasks: int = field(name="frames")
    cpus: float = field(name="vcpus")  # per task, like the next two
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    image: str = field(name="comb")
    image_gb: float
    same_zone: bool = field(name="same_place")
    spread_zones: bool = field(name="scatter")
    spot: bool = field(name="drones")  # spot machines are allowed
    estimated_run_s: float = field(name="forage_s")
    checkpoint_s: float = field(name="cap_s")  # interval between checkpoints; 0: no checkpoints
    save_s: float = field(name="seal_s")  # time to save a checkpoint on a stop
    machine_types: list[str] | None = field(name="breeds", default=None)  # None: any
    zone: str | None = field(name="apiary", default=None)  # None: any
    deadline_s: float | None = field(name="bloom_s", default=None)  # since submission

    @property
    def gang(self) -> bool:
        """True if the tasks run all at the same time or not at all."""
        return self.shape == GANG

    @property
    def service(self) -> bool:
        """True if the tasks are replicas that run until the job is cancelled."""
        return self.shape == DAEMON

    @property
    def needs_full_quota(self) -> bool:
        """True if the team's limit must allow all tasks to run at the same time."""
        return self.gang or self.service

    def invalid_field(self) -> str | None:
        """Return the name of the first field with an invalid value, or None."""
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
        for name in _NON_NEGATIVE_FIELDS:
            if getattr(self, name) < 0:
                return name
        if self.deadline_s is not None and self.deadline_s < 0:
            return "deadline_s"
        return None


def valid_job_id(text: str) -> bool:
    """Return whether a text has the format of a job id."""
    return _JOB_ID.match(text) is not None


def task_name_of(job: str, index: int) -> str:
    """Return the name of a job's task."""
    return f"{job}/{index}"


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def split_task_name(task_name: str) -> tuple[str, int] | None:
    """Split a task name into job id and task index; None if it is not a valid task name."""
    job, _, number = task_name.rpartition("/")
    if not valid_job_id(job) or not number.isdecimal() or len(number) > _MAX_INDEX_DIGITS:
        return None
    return job, int(number)


def job_status_body(job: str, state: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """Build the response about a job's state; `done` and `running` are numbers of tasks."""
    return {"id": job, "stage": state, "done": done, "running": running}
