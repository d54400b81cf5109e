"""Encoding and decoding of message structs as CBOR."""

from __future__ import annotations

import math
import typing
from functools import cache
from typing import Any, TypeVar

import cbor2
import msgspec

T = TypeVar("T")


class InvalidMessageError(ValueError):
    """A body is not CBOR, or not a message of the expected type."""


def pack(message: Any) -> bytes:
    """Encode a struct, map or list as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def unpack(body: bytes) -> Any:
    """Decode a CBOR body to built-in types.

    Raises:
        InvalidMessageError: the body is not CBOR.
    """
    try:
        return cbor2.loads(body)
    except Exception as exc:  # noqa: BLE001 - the decoder raises many exception types on hostile input
        raise InvalidMessageError(f"not CBOR: {type(exc).__name__}") from None


def convert(value: Any, message_type: type[T]) -> T:
    """Convert a map of built-in types to a struct and validate it.

    Raises:
        InvalidMessageError: the value is not a map, a field is missing or has the wrong type,
            or a number is not finite.
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
    """Decode a CBOR body to a struct and validate it.

    Raises:
        InvalidMessageError: as for `unpack` and `convert`.
    """
    return convert(unpack(body), message_type)


def json_size(value: Any) -> int:
    """Return the size of a value as JSON in bytes, which the protocol's size limits apply to."""
    return len(msgspec.json.encode(value))


@cache
def _fields_with_floats(message_type: Any) -> tuple[str, ...]:
    """Return the names of a struct's fields that can hold a float."""
    hints: dict[str, Any] = typing.get_type_hints(message_type)
    return tuple(
        name
        for name in getattr(message_type, "__struct_fields__", ())
        if hints[name] in (float, Any) or float in typing.get_args(hints[name])
    )


def _reject_non_finite(message: Any) -> None:
    """Raise InvalidMessageError if a field is NaN or infinite."""
    for name in _fields_with_floats(message.__class__):
        value = getattr(message, name)
        if isinstance(value, float) and not math.isfinite(value):
            raise InvalidMessageError(f"{name}: not a finite number")
