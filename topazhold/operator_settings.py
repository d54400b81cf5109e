"""The operators' settings: a file in protobuf text format with the fields of `OperatorSettings`."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from topazhold.settings_errors import SettingsError


class OperatorSettings(msgspec.Struct):
    """The operators' settings with their defaults; encoded field names are those of the file."""

    #: Candidate slots that a search collects, as a multiple of the gang's tasks.
    candidates_per_task: float = msgspec.field(name="alpha", default=2.0)
    #: Groups that a search improves by swaps, and the rounds of swaps.
    search_groups: int = 16
    search_rounds: int = 20
    #: Interval between two summaries in the key-value store, in seconds.
    summary_s: float = 5.0
    #: Time after which an unused reservation expires, in seconds.
    reservation_expiry_s: float = msgspec.field(name="hold_lapse_s", default=60.0)
    #: Maximum wait of the largest gangs, in seconds.
    max_gang_wait_s: float = msgspec.field(name="longest_wait_s", default=240.0)
    #: Extra capacity kept while jobs arrive, as a share of the current demand.
    headroom_share: float = 0.15
    #: Share of the GPUs of on-demand machines that is kept free of work that can wait.
    reserve_share: float = 0.35
    #: Time that an idle machine is kept, in boot times of its type.
    idle_boots: float = 1.0
    #: Request spot machines for jobs that allow them.
    use_spot: bool = True
    #: Maximum share of the sockets for users' connections.
    user_socket_share: float = 0.6
    #: Record cloud operations in the key-value store before they are sent.
    record_operations: bool = msgspec.field(name="record_orders", default=True)


#: Minimum and maximum of each number, by its name in the file.
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
    """Read and validate the operators' settings; without a path, return the defaults.

    Raises:
        SettingsError: the file can't be read, or a field is unknown or out of range.
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
    """Parse settings in protobuf text format; missing fields have their defaults."""
    # Imported here since protobuf is only needed if there is a file.
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
    """Build a protobuf message type with an optional field for each setting, typed by its default.

    Messages are only used as text, so field numbers need not be stable.
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
