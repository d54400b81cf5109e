"""The platform's settings (TOML): one class for each section of the file.

Encoded field names are those of the file; unknown fields are ignored. The names of
`operator_settings` are re-exported.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from topazhold.operator_settings import OperatorSettings as OperatorSettings
from topazhold.operator_settings import load_operator_settings as load_operator_settings
from topazhold.settings_errors import SettingsError as SettingsError

#: Minimum duration of a worker's lease, in heartbeat intervals.
MIN_HEARTBEATS_PER_LEASE = 2
MS_PER_S = 1000
#: Highest TCP port.
MAX_PORT = 65535


class Seed(msgspec.Struct):
    """Another controller: its name and its `host:port` for peer messages."""

    node_name: str
    addr: str


class ExternalServices(msgspec.Struct):
    """Addresses (`host:port`) of the cloud and of the key-value store."""

    cloud: str
    key_value_store: str = msgspec.field(name="state")


class Team(msgspec.Struct):
    """A team's guaranteed quota (`cpus`, `gpus`) and its limits (`..._max`; 0: unlimited)."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    """A service-level objective; kind `wait`: jobs of a class start within `within_s` seconds."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None


class WorkerTimings(msgspec.Struct):
    """Intervals and timeouts of the workers, in seconds."""

    #: Interval between heartbeats.
    heartbeat_interval_s: float = msgspec.field(name="report_s")
    #: Time without an answered heartbeat after which a worker stops and discards its tasks.
    lease_s: float
    #: Time that the tasks of a gang wait for each other when they start.
    gang_wait_s: float
    #: Time within which the tasks of a gang detect the loss of one of them.
    gang_peer_s: float
    #: Time within which the tasks of a cancelled job must end.
    cancel_s: float


class LaterLimits(msgspec.Struct):
    """Limits that the key-value store may switch to at any time, without notice.

    A limit that is None does not change. Units are those of `KeyValueStoreLimits`.
    """

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class KeyValueStoreLimits(msgspec.Struct):
    """Current limits of the key-value store, and the limits that it may switch to later."""

    #: Requests per second, and writes among them.
    rps: float
    write_rps: float
    #: Maximum size of a value, in KiB.
    value_kb: float
    #: Maximum number of operations in a transaction.
    txn_ops: int
    next: LaterLimits | None = None

    def _lasting(self, name: str) -> float:
        """Return the smaller of a limit's current and later value."""
        present: float = getattr(self, name)
        later: float | None = getattr(self.next, name) if self.next is not None else None
        return present if later is None else min(present, later)

    @property
    def lasting_rps(self) -> float:
        """Requests per second that are allowed both now and later."""
        return self._lasting("rps")

    @property
    def lasting_write_rps(self) -> float:
        """Writes per second that are allowed both now and later."""
        return self._lasting("write_rps")

    @property
    def lasting_value_bytes(self) -> int:
        """Size of a value in bytes that is allowed both now and later."""
        return int(self._lasting("value_kb") * 1024)

    @property
    def lasting_txn_ops(self) -> int:
        """Operations in a transaction that are allowed both now and later."""
        return int(self._lasting("txn_ops"))


class CloudLimits(msgspec.Struct):
    """The cloud's limit of requests per second, and the delay of its machine list in seconds."""

    rps: float
    list_lag_s: float


class ProcessLimits(msgspec.Struct):
    """Resources that a controller may use: sockets, and CPU time (1.0: one core)."""

    sockets: int = 512
    cpu_share: float = 1.0


class Cluster(msgspec.Struct):
    """Settings that all controllers share."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimings
    key_value_store: KeyValueStoreLimits = msgspec.field(name="state")
    cloud: CloudLimits
    limits: ProcessLimits
    objectives: list[Objective] = []
    #: Greatest difference of a controller's wall clock from the true time, in milliseconds.
    clock_error_ms: float = 100.0

    @property
    def max_clock_difference_s(self) -> float:
        """Greatest difference between the wall clocks of two controllers, in seconds."""
        return 2 * self.clock_error_ms / MS_PER_S

    def wait_objectives(self) -> dict[str, tuple[float, float]]:
        """Return the shortest and longest wait objective of each job class, in seconds."""
        waits: dict[str, tuple[float, float]] = {}
        for objective in self.objectives:
            job_class, within_s = objective.job_class, objective.within_s
            if objective.kind == "wait" and job_class is not None and within_s is not None:
                shortest, longest = waits.get(job_class, (within_s, within_s))
                waits[job_class] = (min(shortest, within_s), max(longest, within_s))
        return waits


class Settings(msgspec.Struct):
    """The platform's settings for one controller; addresses are `host:port`."""

    node_name: str
    domain: str
    #: Addresses of this controller for users and workers, and for other controllers.
    bind: str
    peer_listen: str
    external: ExternalServices = msgspec.field(name="outside")
    cluster: Cluster
    #: The other controllers.
    seeds: list[Seed] = []


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`.

    Raises:
        ValueError: the text has another format, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


def load(path: Path) -> Settings:
    """Read and validate the platform's settings.

    Raises:
        SettingsError: the file can't be read, or a field is missing, has the wrong type or
            contradicts other fields.
    """
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not TOML: {exc}") from None
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from None
    fault = next(_faults(settings), None)
    if fault is not None:
        raise SettingsError(f"{path}: {fault}")
    return settings


def _faults(settings: Settings) -> Iterator[str]:
    """Yield a message for each field that is invalid or contradicts other fields."""
    cluster = settings.cluster
    yield from _address_faults(settings)
    yield from _name_faults(settings)
    for team in cluster.teams:
        yield from _team_faults(team)
    for objective in cluster.objectives:
        yield from _objective_faults(objective)
    for section, part in (
        ("workers", cluster.workers),
        ("state", cluster.key_value_store),
        ("cloud", cluster.cloud),
        ("limits", cluster.limits),
    ):
        yield from _amount_faults(f"cluster.{section}", part)
    if cluster.key_value_store.next is not None:
        yield from _amount_faults("cluster.state.next", cluster.key_value_store.next)
    workers = cluster.workers
    if workers.heartbeat_interval_s * MIN_HEARTBEATS_PER_LEASE > workers.lease_s:
        yield "cluster.workers.lease_s: shorter than two report_s"


def _address_faults(settings: Settings) -> Iterator[str]:
    """Yield a message for each address that is not `host:port`."""
    for name, text in (
        ("bind", settings.bind),
        ("peer_listen", settings.peer_listen),
        ("outside.cloud", settings.external.cloud),
        ("outside.state", settings.external.key_value_store),
        *((f"seeds[{i}].addr", seed.addr) for i, seed in enumerate(settings.seeds)),
    ):
        try:
            parse_address(text)
        except ValueError as exc:
            yield f"{name}: {exc}"


def _name_faults(settings: Settings) -> Iterator[str]:
    """Yield a message for each name that is missing or not unique."""
    cluster = settings.cluster
    if not settings.node_name:
        yield "node_name: empty"
    names = [settings.node_name, *(seed.node_name for seed in settings.seeds)]
    if len(set(names)) != len(names):
        yield "seeds: a node name stands twice"
    if not cluster.zones:
        yield "cluster.zones: empty"
    if len({team.name for team in cluster.teams}) != len(cluster.teams):
        yield "cluster.teams: a team's name stands twice"


def _team_faults(team: Team) -> Iterator[str]:
    """Yield a message for each quota that is not an amount or exceeds its limit."""
    for resource in ("cpus", "gpus"):
        quota, limit = getattr(team, resource), getattr(team, f"{resource}_max")
        if not (math.isfinite(quota) and math.isfinite(limit)) or quota < 0 or limit < 0:
            yield f"cluster.teams.{team.name}.{resource}: not an amount"
        if limit and quota > limit:
            yield f"cluster.teams.{team.name}.{resource}: guarantee above {resource}_max"


def _objective_faults(objective: Objective) -> Iterator[str]:
    """Yield a message for an invalid time, since the order of the job queue depends on it."""
    within_s = objective.within_s
    if within_s is not None and (not math.isfinite(within_s) or within_s < 0):
        yield f"cluster.objectives: within_s of {objective.job_class} is not a time"


def _amount_faults(section: str, part: msgspec.Struct) -> Iterator[str]:
    """Yield a message for each number of a section that is not finite and above 0."""
    for field in msgspec.structs.fields(part):
        value = getattr(part, field.name)
        if isinstance(value, int | float) and (not math.isfinite(value) or value <= 0):
            yield f"{section}.{field.encode_name}: must be above 0"
