"""Messages between workers and controllers: heartbeats, and commands in their answers or apart."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

#: Where a controller takes heartbeats.
HEARTBEAT_PATH = "/v1/report"
#: Where a worker takes commands, and tells its status.
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

#: Causes of a task's end that the controllers act on.
CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_NO_CAPACITY = "no_room"
CAUSE_UNKNOWN = "unknown"


class TaskStatus(msgspec.Struct):
    """One task as its worker sees it."""

    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    state: str = field(name="stage")
    cause: str | None = None
    checkpoint_saved: bool | None = field(
        name="kept", default=None
    )  # whether a checkpoint was saved at the stop


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat with the status of its machine.

    The one with the larger (`incarnation`, `sequence`) is the newer one.
    """

    machine: str = field(name="box")
    endpoint: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    spot: bool = field(name="drones")
    incarnation: int = field(name="flight")  # increases with each lease that expires
    sequence: int = field(name="tally")
    fencing_token: int = field(name="crown")  # the highest that it has seen
    tasks: list[TaskStatus] = field(name="frames")
    notice_s: float | None = field(name="smoke_s", default=None)  # until the cloud takes it


class Command(msgspec.Struct, omit_defaults=True):
    """A command to a worker."""

    kind: str = field(name="call")
    task_name: str = field(name="frame")
    attempt_number: int = field(name="try")
    grace_s: float | None = field(name="settle_s", default=None)  # of a kill only


def launch(task_name: str, attempt_number: int) -> Command:
    """Start a task."""
    return Command(LAUNCH, task_name, attempt_number)


def kill(task_name: str, attempt_number: int, grace_s: float) -> Command:
    """Stop a task; it saves a checkpoint if `grace_s` seconds are enough for that."""
    return Command(KILL, task_name, attempt_number, grace_s)


def clear(task_name: str, attempt_number: int) -> Command:
    """Remove an ended task from the worker's heartbeats."""
    return Command(CLEAR, task_name, attempt_number)


class Commands(msgspec.Struct, omit_defaults=True):
    """Commands with the fencing token of the term that gives them."""

    fencing_token: int = field(name="crown")
    commands: list[Command] = field(name="calls")
    incarnation: int | None = field(name="flight", default=None)


def redirect_body(leader: str | None) -> dict[str, Any]:
    """The body that sends a worker to the leader, if there is one."""
    return {"queen": leader} if leader else {}
