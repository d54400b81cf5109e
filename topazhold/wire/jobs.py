"""Messages of the users' interface: submissions, states and cancellations of jobs."""

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
DAEMON = "daemon"  # a service: replicas that run until the user cancels the job
#: Classes of priority, the highest first.
URGENCIES = ("critical", "urgent", "normal", "best_effort")
#: Tasks of a job, at the most.
MAX_TASKS = 100_000
#: Characters of a name, at the most.
MAX_NAME_LENGTH = 200

#: Task names whose parts are cached: every heartbeat names all tasks of its machine, and a
#: large fleet has tens of thousands.
TASK_NAME_CACHE_SIZE = 32_768

_JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
#: Digits of a task's number, at the most.
_MAX_INDEX_DIGITS = 6

#: Fields of a job, as they are stored, that nobody needs once it is over: left out, or
#: cut short where every job must have one.
FIELDS_OMITTED_WHEN_ENDED = ("breeds", "apiary", "bloom_s")
NAMES_TRUNCATED_WHEN_ENDED = ("lane", "comb")

#: Fields of a job that can't be negative.
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
    """What a user submits; times in seconds."""

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
    same_zone: bool = field(name="same_place")
    spread_zones: bool = field(name="scatter")
    spot: bool = field(name="drones")  # whether spot machines may be used
    estimated_run_s: float = field(name="forage_s")
    checkpoint_s: float = field(name="cap_s")  # interval of checkpoints; 0: none
    save_s: float = field(name="seal_s")  # to save a checkpoint when stopped
    machine_types: list[str] | None = field(name="breeds", default=None)  # None: any
    zone: str | None = field(name="apiary", default=None)  # None: any
    deadline_s: float | None = field(name="bloom_s", default=None)  # from the submission

    @property
    def gang(self) -> bool:
        """Whether all tasks run at the same time or none does."""
        return self.shape == GANG

    @property
    def service(self) -> bool:
        """Whether the tasks are replicas that run until the job is cancelled."""
        return self.shape == DAEMON

    @property
    def needs_full_quota(self) -> bool:
        """Whether the team's limit must take all tasks at the same time."""
        return self.gang or self.service

    def invalid_field(self) -> str | None:
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
        for name in _NON_NEGATIVE_FIELDS:
            if getattr(self, name) < 0:
                return name
        if self.deadline_s is not None and self.deadline_s < 0:
            return "deadline_s"
        return None


def valid_job_id(text: str) -> bool:
    """Whether a text has the form of job ids."""
    return _JOB_ID.match(text) is not None


def task_name_of(job: str, index: int) -> str:
    """The name of a job's task."""
    return f"{job}/{index}"


@lru_cache(maxsize=TASK_NAME_CACHE_SIZE)
def split_task_name(task_name: str) -> tuple[str, int] | None:
    """Job and number of a task name, or None if it is none."""
    job, _, number = task_name.rpartition("/")
    if not valid_job_id(job) or not number.isdecimal() or len(number) > _MAX_INDEX_DIGITS:
        return None
    return job, int(number)


def job_status_body(job: str, state: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """What a user is told of a job; `done` and `running` count tasks."""
    return {"id": job, "stage": state, "done": done, "running": running}
