"""Messages of the users', workers' and cloud's interfaces."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any

import msgspec

JOBS_PATH = "/api/jobs"
CANCEL_END = "/cancel"
HEALTH_PATH = "/healthz"
REPORT_PATH = "/v1/report"
COMMANDS_PATH = "/commands"
STATUS_PATH = "/status"
CATALOG_PATH = "/catalog"
MACHINES_PATH = "/machines"
RELEASE_PATH = "/machines/release"
STORE_PATH = "/store"
MULTI_PATH = "/multi"
GRANTS_PATH = "/grants"
TOUCH_END = "/touch"
WATCH_PATH = "/watch"

PENDING = "pending"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

GANG = "gang"
BATCH = "batch"
DAEMON = "daemon"  # tasks that run until their user cancels them; placed like an array's
URGENCIES = ("critical", "urgent", "normal", "best_effort")
MOST_FRAMES = 100_000
LONGEST_NAME = 200
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
CAUSE_NO_ROOM = "no_room"
CAUSE_UNKNOWN = "unknown"

LISTED_FAILED = "failed"

#: Task names whose parts are remembered: every report names all tasks of its machine.
MOST_NAMES = 4096

_JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")


class JobSpec(msgspec.Struct, omit_defaults=True):
    """What a user asks for."""

    id: str
    lane: str
    crew: str
    shape: str
    urgency: str
    frames: int
    vcpus: float
    cards: float
    ram_gb: float
    comb: str
    image_gb: float
    same_place: bool
    scatter: bool
    drones: bool
    forage_s: float
    cap_s: float
    seal_s: float
    breeds: list[str] | None = None
    apiary: str | None = None
    bloom_s: float | None = None

    @property
    def gang(self) -> bool:
        return self.shape == GANG

    def fault(self) -> str | None:
        """The first field that is out of its range, or None."""
        for name in ("id", "lane", "crew", "comb"):
            if not 0 < len(getattr(self, name)) <= LONGEST_NAME:
                return name
        if not valid_job_id(self.id):
            return "id"
        if self.shape not in (GANG, BATCH, DAEMON):
            return "shape"
        if self.urgency not in URGENCIES:
            return "urgency"
        if not 1 <= self.frames <= MOST_FRAMES:
            return "frames"
        for name in ("vcpus", "cards", "ram_gb", "image_gb", "forage_s", "cap_s", "seal_s"):
            if getattr(self, name) < 0:
                return name
        if self.bloom_s is not None and self.bloom_s < 0:
            return "bloom_s"
        return None


class FrameReport(msgspec.Struct):
    """One task as its worker sees it."""

    frame: str
    attempt: int = msgspec.field(name="try")
    stage: str
    cause: str | None = None
    kept: bool | None = None


class Report(msgspec.Struct):
    """What a worker tells about its machine."""

    box: str
    endpoint: str
    breed: str
    apiary: str
    drones: bool
    flight: int
    tally: int
    term: int = msgspec.field(name="crown")  # its highest fencing token
    frames: list[FrameReport]
    smoke_s: float | None = None


class Call(msgspec.Struct, omit_defaults=True):
    """A command to a worker."""

    call: str
    frame: str
    attempt: int = msgspec.field(name="try")
    settle_s: float | None = None


def launch(frame: str, attempt: int) -> Call:
    return Call(LAUNCH, frame, attempt)


def kill(frame: str, attempt: int, settle_s: float) -> Call:
    return Call(KILL, frame, attempt, settle_s)


def clear(frame: str, attempt: int) -> Call:
    return Call(CLEAR, frame, attempt)


class Orders(msgspec.Struct, omit_defaults=True):
    """Commands, with the right to give them."""

    term: int = msgspec.field(name="crown")  # the fencing token
    calls: list[Call]
    flight: int | None = None


class Breed(msgspec.Struct):
    """A machine type of the cloud."""

    label: str
    vcpus: float
    cards: float
    ram_gb: float
    hourly: float
    ready_s: float
    apiaries: list[str]
    local_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    market_price: float | None = None


class Catalog(msgspec.Struct):
    breeds: list[Breed]


class ListedBox(msgspec.Struct):
    """A machine in the cloud's list."""

    id: str
    breed: str
    apiary: str
    stage: str
    drones: bool = False
    endpoint: str | None = None
    age_s: float = 0.0


class BoxPage(msgspec.Struct):
    boxes: list[ListedBox]
    truncated: bool = False


class Rented(msgspec.Struct):
    boxes: list[str]


class Entry(msgspec.Struct):
    """A key of the state service."""

    key: str
    data: Any
    mark: int
    permit: int | None = None


class EntryPage(msgspec.Struct):
    entries: list[Entry]
    harvest: int
    truncated: bool = False


class WatchPage(msgspec.Struct):
    harvest: int
    events: list[dict[str, Any]]


class Granted(msgspec.Struct):
    permit: int


class Committed(msgspec.Struct):
    harvest: int
    failed: list[str] = []


def valid_job_id(text: str) -> bool:
    return _JOB_ID.match(text) is not None


def frame_name(job: str, index: int) -> str:
    return f"{job}/{index}"


@lru_cache(maxsize=MOST_NAMES)
def split_frame(frame: str) -> tuple[str, int] | None:
    """Job and number of a task name, or None if it is none."""
    job, _, number = frame.rpartition("/")
    if not valid_job_id(job) or not number.isdecimal() or len(number) > 6:
        return None
    return job, int(number)


def job_answer(job: str, stage: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    return {"id": job, "stage": stage, "done": done, "running": running}


def redirect(leader: str | None) -> dict[str, Any]:
    return {"queen": leader} if leader else {}


def rent_body(ask: str, breed: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"swarm_ask": ask, "breed": breed, "apiary": zone, "drones": spot, "count": count}


def release_body(names: list[str]) -> dict[str, Any]:
    return {"boxes": names}


def list_query(after: str | None, most: int) -> str:
    return f"{MACHINES_PATH}?most={most}" + (f"&from={after}" if after else "")


def store_query(prefix: str, after: str | None, most: int) -> str:
    return f"{STORE_PATH}?under={prefix}&most={most}" + (f"&from={after}" if after else "")


def watch_query(prefix: str, since: int, block_ms: int) -> str:
    return f"{WATCH_PATH}?under={prefix}&from={since}&block_ms={block_ms}"


def guard(key: str, mark: int) -> dict[str, Any]:
    return {"key": key, "mark": mark}


def put(key: str, data: Any, permit: int | None = None) -> dict[str, Any]:
    change = {"put": key, "data": data}
    if permit is not None:
        change["permit"] = permit
    return change


def drop(key: str) -> dict[str, Any]:
    return {"drop": key}


def changed_key(change: dict[str, Any]) -> str:
    return str(change.get("put") or change["drop"])


def multi_body(guards: list[dict[str, Any]], then: list[dict[str, Any]]) -> dict[str, Any]:
    return {"guards": guards, "then": then}


def event_key(event: dict[str, Any]) -> tuple[str, Any, int]:
    """Key, value (None for a drop) and mark of a watch event."""
    if "put" in event:
        return event["put"], event.get("data"), event.get("mark", 0)
    return event["drop"], None, event.get("mark", 0)


def grant_body(ttl_ms: int) -> dict[str, Any]:
    return {"ttl_ms": ttl_ms}
