"""CBOR bodies to and from message structs."""

from __future__ import annotations

import math
import typing
from functools import cache
from typing import Any, TypeVar

import cbor2
import msgspec

T = TypeVar("T")


class InvalidMessageError(ValueError):
    """A body that is not CBOR, or not the message that was expected."""


def pack(message: Any) -> bytes:
    """Encode a struct, a map or a list as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def unpack(body: bytes) -> Any:
    """Decode a CBOR body to plain values; raises InvalidMessageError."""
    try:
        return cbor2.loads(body)
    except Exception as exc:  # noqa: BLE001 - the decoder raises many kinds on hostile input
        raise InvalidMessageError(f"not CBOR: {type(exc).__name__}") from None


def convert(value: Any, message_type: type[T]) -> T:
    """Check plain values against a struct.

    Raises:
        InvalidMessageError: not a map, a field is missing or of another type, or a number is
            not finite.
    """
    if not isinstance(value, dict):
        raise InvalidMessageError("not a map")
    try:
        message = msgspec.convert(value, message_type)
    except (msgspec.ValidationError, RecursionError, TypeError) as exc:
        raise InvalidMessageError(str(exc)) from None
    _reject_non_finite(message)
    return message


def decode(body: bytes, message_type: type[T]) -> T:
    """Decode and check a CBOR body; raises InvalidMessageError."""
    return convert(unpack(body), message_type)


def json_size(value: Any) -> int:
    """The size in bytes that the protocol's limits count: that of the value as JSON."""
    return len(msgspec.json.encode(value))


@cache
def _fields_with_floats(message_type: Any) -> tuple[str, ...]:
    """The fields of a struct that may hold a number with a fraction."""
    hints: dict[str, Any] = typing.get_type_hints(message_type)
    return tuple(
        name
        for name in getattr(message_type, "__struct_fields__", ())
        if hints[name] in (float, Any) or float in typing.get_args(hints[name])
    )


def _reject_non_finite(message: Any) -> None:
    for name in _fields_with_floats(message.__class__):
        value = getattr(message, name)
        if isinstance(value, float) and not math.isfinite(value):
            raise InvalidMessageError(f"{name}: not a finite number")
