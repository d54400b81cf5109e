"""The platform's settings (TOML) and the operators' own (protobuf text format)."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec


class SettingsError(Exception):
    """Settings that can't be used; the text names file and field."""


class Seed(msgspec.Struct):
    node_name: str
    addr: str


class Outside(msgspec.Struct):
    cloud: str
    state: str


class Team(msgspec.Struct):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None


class Workers(msgspec.Struct):
    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class LaterLimits(msgspec.Struct):
    """Limits that the state service will have from some moment on, without notice.

    A limit that is not named stays as it is.
    """

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct):
    """Limits of the state service, and those that it may have at any later moment."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: LaterLimits | None = None

    def _smaller(self, name: str) -> float:
        now: float = getattr(self, name)
        later: float | None = getattr(self.next, name) if self.next is not None else None
        return now if later is None else min(now, later)

    @property
    def lasting_rps(self) -> float:
        """Requests a second that are allowed now and later."""
        return self._smaller("rps")

    @property
    def lasting_write_rps(self) -> float:
        """Changes a second that are allowed now and later."""
        return self._smaller("write_rps")

    @property
    def lasting_value_bytes(self) -> int:
        """The size of a value that is allowed now and later."""
        return int(self._smaller("value_kb") * 1024)

    @property
    def lasting_txn_ops(self) -> int:
        """The changes of a transaction that are allowed now and later."""
        return int(self._smaller("txn_ops"))


class Cloud(msgspec.Struct):
    rps: float
    list_lag_s: float


class Limits(msgspec.Struct):
    sockets: int = 512
    cpu_share: float = 1.0


class Cluster(msgspec.Struct):
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    limits: Limits
    objectives: list[Objective] = []

    def wait_objectives(self) -> dict[str, tuple[float, float]]:
        """Shortest and longest aim for a start, of each class that has any."""
        found: dict[str, tuple[float, float]] = {}
        for objective in self.objectives:
            if (
                objective.kind == "wait"
                and objective.job_class is not None
                and objective.within_s is not None
            ):
                short, long = found.get(
                    objective.job_class, (objective.within_s, objective.within_s)
                )
                found[objective.job_class] = (
                    min(short, objective.within_s),
                    max(long, objective.within_s),
                )
        return found


class Settings(msgspec.Struct):
    """What the platform hands over, as far as it is used; the rest is ignored."""

    node_name: str
    domain: str
    bind: str
    peer_listen: str
    outside: Outside
    cluster: Cluster
    seeds: list[Seed] = []


class Operator(msgspec.Struct):
    """The operators' own settings, with their defaults."""

    alpha: float = 2.0
    search_groups: int = 16
    search_rounds: int = 20
    summary_s: float = 5.0
    reservation_expiry_s: float = msgspec.field(name="hold_lapse_s", default=60.0)
    longest_wait_s: float = 240.0
    headroom_share: float = 0.15
    reserve_share: float = 0.35
    idle_boots: float = 1.0
    use_spot: bool = True
    user_socket_share: float = 0.6
    record_orders: bool = True


def address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


def load(path: Path) -> Settings:
    """Read and check the platform's settings."""
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
    fault = _fault(settings)
    if fault:
        raise SettingsError(f"{path}: {fault}")
    return settings


def _fault(settings: Settings) -> str | None:
    """The first field that contradicts the others, with the reason."""
    for name, text in (
        ("bind", settings.bind),
        ("peer_listen", settings.peer_listen),
        ("outside.cloud", settings.outside.cloud),
        ("outside.state", settings.outside.state),
        *((f"seeds[{i}].addr", seed.addr) for i, seed in enumerate(settings.seeds)),
    ):
        try:
            address(text)
        except ValueError as exc:
            return f"{name}: {exc}"
    cluster = settings.cluster
    if not settings.node_name:
        return "node_name: empty"
    names = [settings.node_name, *(seed.node_name for seed in settings.seeds)]
    if len(set(names)) != len(names):
        return "seeds: a node name stands twice"
    if not cluster.zones:
        return "cluster.zones: empty"
    if len({team.name for team in cluster.teams}) != len(cluster.teams):
        return "cluster.teams: a team's name stands twice"
    for team in cluster.teams:
        for kind in ("cpus", "gpus"):
            least, most = getattr(team, kind), getattr(team, f"{kind}_max")
            if not (math.isfinite(least) and math.isfinite(most)) or least < 0 or most < 0:
                return f"cluster.teams.{team.name}.{kind}: not an amount"
            if most and least > most:
                return f"cluster.teams.{team.name}.{kind}: guarantee above {kind}_max"
    for section in ("workers", "state", "cloud", "limits"):
        fault = _amounts_fault(f"cluster.{section}", getattr(cluster, section))
        if fault:
            return fault
    if cluster.state.next is not None:
        fault = _amounts_fault("cluster.state.next", cluster.state.next)
        if fault:
            return fault
    if cluster.workers.heartbeat_interval_s * 2 > cluster.workers.lease_s:
        return "cluster.workers.lease_s: shorter than two report_s"
    return None


def _amounts_fault(section: str, part: msgspec.Struct) -> str | None:
    """The first field of a section that is not an amount above 0; those left out are none."""
    for field in msgspec.structs.fields(part):
        value = getattr(part, field.name)
        if isinstance(value, int | float) and (not math.isfinite(value) or value <= 0):
            return f"{section}.{field.encode_name}: must be above 0"
    return None


def load_operator(path: Path | None) -> Operator:
    """Read the operators' file; a missing default file means the defaults."""
    if path is None:
        return Operator()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from None
    operator = _parse_operator(path, text)
    given = msgspec.to_builtins(operator)
    for name, least, most in (
        ("alpha", 1.0, 16.0),
        ("search_groups", 1, 256),
        ("search_rounds", 0, 1000),
        ("summary_s", 0.5, 600.0),
        ("hold_lapse_s", 1.0, 3600.0),
        ("longest_wait_s", 1.0, 86400.0),
        ("headroom_share", 0.0, 4.0),
        ("reserve_share", 0.0, 0.9),
        ("idle_boots", 0.0, 100.0),
        ("user_socket_share", 0.05, 0.75),
    ):
        value = given[name]
        if not math.isfinite(value) or not least <= value <= most:
            raise SettingsError(f"{path}: {name}: must be from {least} to {most}")
    return operator


def _parse_operator(path: Path, text: str) -> Operator:
    # Imported late: a node without an operators' file does not pay for protobuf.
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory, text_format

    field_types = {
        float: descriptor_pb2.FieldDescriptorProto.TYPE_DOUBLE,
        int: descriptor_pb2.FieldDescriptorProto.TYPE_INT64,
        bool: descriptor_pb2.FieldDescriptorProto.TYPE_BOOL,
    }
    file = descriptor_pb2.FileDescriptorProto(
        name="topazhold/operator.proto", package="topazhold", syntax="proto2"
    )
    shape = file.message_type.add(name="Operator")
    settings = msgspec.to_builtins(Operator())
    for number, (name, default) in enumerate(settings.items(), start=1):
        shape.field.add(
            name=name,
            number=number,
            type=field_types[type(default)],
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    kind = message_factory.GetMessageClass(pool.FindMessageTypeByName("topazhold.Operator"))
    message = kind()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as exc:
        raise SettingsError(f"{path}: {exc}") from None
    settings.update({field.name: value for field, value in message.ListFields()})
    return msgspec.convert(settings, Operator)
