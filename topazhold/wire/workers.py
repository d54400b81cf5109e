"""Messages between workers and controllers: heartbeats, and commands in responses or requests."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

#: Path of a controller that receives heartbeats.
HEARTBEAT_PATH = "/v1/report"
#: Paths of a worker that receive commands and return its status.
COMMANDS_PATH = "/commands"
STATUS_PATH = "/status"

#: States of a task besides `jobs.RUNNING`.
PULLING = "pulling"
GATHERING = "gathering"
FLUSHING = "flushing"
ENDED = "ended"

#: Kinds of commands.
LAUNCH = "launch"
KILL = "kill"
CLEAR = "clear"

#: Causes of a task's end that controllers distinguish.
CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_INCOMPLETE = "incomplete"
CAUSE_NO_CAPACITY = "no_room"
CAUSE_UNKNOWN = "unknown"


class TaskStatus(msgspec.Struct):
    """The status of a task, as its worker reports it."""

    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    state: str = field(name="stage")
    cause: str | None = None
    checkpoint_saved: bool | None = field(name="kept", default=None)  # at the stop

    @property
    def job(self) -> str:
        """The id of the task's job."""
        return self.task_name.partition("/")[0]


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat with the status of its machine and tasks.

    Of two heartbeats, the one with the larger (`incarnation`, `sequence`) is newer.
    """

    machine: str = field(name="box")
    endpoint: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    spot: bool = field(name="drones")
    incarnation: int = field(name="flight")  # incremented when the worker's lease expires
    sequence: int = field(name="tally")
    fencing_token: int = field(name="crown")  # the highest that the worker has seen
    tasks: list[TaskStatus] = field(name="frames")
    notice_s: float | None = field(name="smoke_s", default=None)  # until the cloud reclaims it


class Command(msgspec.Struct, omit_defaults=True):
    """A command to a worker."""

    kind: str = field(name="call")
    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    grace_s: float | None = field(name="settle_s", default=None)  # for a kill only


def launch(task_name: str, attempt_number: int) -> Command:
    """Build a command that starts a task."""
    return Command(LAUNCH, task_name, attempt_number)


def kill(task_name: str, attempt_number: int, grace_s: float) -> Command:
    """Build a command that stops a task, with `grace_s` seconds to save a checkpoint."""
    return Command(KILL, task_name, attempt_number, grace_s)


def clear(task_name: str, attempt_number: int) -> Command:
    """Build a command that removes an ended task from the worker's heartbeats."""
    return Command(CLEAR, task_name, attempt_number)


class Commands(msgspec.Struct, omit_defaults=True):
    """Commands with the fencing token of the term that issues them."""

    fencing_token: int = field(name="crown")
    commands: list[Command] = field(name="calls")
    incarnation: int | None = field(name="flight", default=None)


def redirect_body(leader: str | None) -> dict[str, Any]:
    """Build the response that redirects a worker to the leader; empty if none is known."""
    return {"queen": leader} if leader else {}
