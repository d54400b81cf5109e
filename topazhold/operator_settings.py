"""The operators' own settings: protobuf text format, one field for each of `OperatorSettings`."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from topazhold.settings_errors import SettingsError


class OperatorSettings(msgspec.Struct):
    """The operators' own settings, with their defaults; a field's name is the file's."""

    #: Candidates that a search gathers, as a multiple of the gang's tasks.
    candidates_per_task: float = msgspec.field(name="alpha", default=2.0)
    #: Groups in the swap loop of a search, and its rounds.
    search_groups: int = 16
    search_rounds: int = 20
    #: Seconds between two summaries in the key-value store.
    summary_s: float = 5.0
    #: Seconds after which a reservation that is not used expires.
    reservation_expiry_s: float = msgspec.field(name="hold_lapse_s", default=60.0)
    #: Seconds that the largest gangs may wait.
    max_gang_wait_s: float = msgspec.field(name="longest_wait_s", default=240.0)
    #: Machines kept beyond present work while jobs come, as a share of it.
    headroom_share: float = 0.15
    #: Share of the GPUs of ordinary machines that is kept free from work that can wait.
    reserve_share: float = 0.35
    #: How long an idle machine is kept, in boot times of its type.
    idle_boots: float = 1.0
    #: Whether spot machines are requested for jobs that may use them.
    use_spot: bool = True
    #: Share of the sockets that users' connections may take.
    user_socket_share: float = 0.6
    #: Whether cloud operations are recorded before they are sent.
    record_operations: bool = msgspec.field(name="record_orders", default=True)


#: The least and the greatest value of each number, by its name in the file.
RANGES: dict[str, tuple[float, float]] = {
    "alpha": (1.0, 16.0),
    "search_groups": (1, 256),
    "search_rounds": (0, 1000),
    "summary_s": (0.5, 600.0),
    "hold_lapse_s": (1.0, 3600.0),
    "longest_wait_s": (1.0, 86400.0),
    "headroom_share": (0.0, 4.0),
    "reserve_share": (0.0, 0.9),
    "idle_boots": (0.0, 100.0),
    "user_socket_share": (0.05, 0.75),
}


def load_operator_settings(path: Path | None) -> OperatorSettings:
    """Read and check the operators' file; without a path, the defaults.

    Raises:
        SettingsError: the file can't be read, or a field is unknown or out of its range.
    """
    if path is None:
        return OperatorSettings()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from None
    operator = _parse(path, text)
    values = msgspec.to_builtins(operator)
    for name, (minimum, maximum) in RANGES.items():
        value = values[name]
        if not math.isfinite(value) or not minimum <= value <= maximum:
            raise SettingsError(f"{path}: {name}: must be from {minimum} to {maximum}")
    return operator


def _parse(path: Path, text: str) -> OperatorSettings:
    """The settings of a file in protobuf text format; what it leaves out has its default."""
    # Imported late: without an operators' file protobuf is not needed.
    from google.protobuf import text_format

    values = msgspec.to_builtins(OperatorSettings())
    message = _message_type(values)()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as exc:
        raise SettingsError(f"{path}: {exc}") from None
    values.update({field.name: value for field, value in message.ListFields()})
    return msgspec.convert(values, OperatorSettings)


def _message_type(defaults: dict[str, Any]) -> Any:
    """A protobuf message type with an optional field for each setting, typed by its default.

    The message exists in text form only, so the fields' numbers need not be stable.
    """
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    field_types = {
        float: descriptor_pb2.FieldDescriptorProto.TYPE_DOUBLE,
        int: descriptor_pb2.FieldDescriptorProto.TYPE_INT64,
        bool: descriptor_pb2.FieldDescriptorProto.TYPE_BOOL,
    }
    file = descriptor_pb2.FileDescriptorProto(
        name="topazhold/operator.proto", package="topazhold", syntax="proto2"
    )
    schema = file.message_type.add(name="Operator")
    for number, (name, default) in enumerate(defaults.items(), start=1):
        schema.field.add(
            name=name,
            number=number,
            type=field_types[type(default)],
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("topazhold.Operator"))
