"""Plays one seeded day of a version and records every message on its simulated network.

`tools.compare_messages` runs this file by its path, with the version's sources on the module
search path, so it depends only on the names of the version in `PLACES` and `TROUBLE_MODULES`.
A message is one line of JSON with its virtual time, sender and target. Bodies are decoded, so
they contain the protocol's names and not those of the code.
"""

from __future__ import annotations

import importlib
import inspect
import json
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import cbor2
import click
import curio
import msgspec
import pytest

#: Where each version's harness defines what is hooked or called; the first that exists is used.
PLACES = {
    "ask": (
        "tests.fakes.network:Network.request",
        "tests.fakes.network:Network.ask",
        "tests.standins:Net.ask",
    ),
    "send": ("tests.fakes.peer_link:PeerLink.send", "tests.standins:PeerLink.send"),
    "play": ("tests.random_days:play", "tests.test_random_days:play"),
    "later": (
        "tests.random_days:LATER",
        "tests.service_days:LATER",
        "tests.test_service_days:LATER",
    ),
}
#: Modules that may define the lists of fault kinds.
TROUBLE_MODULES = ("tests.random_days", "tests.test_random_days")
#: Names of the attributes for the two ends of a link between controllers.
SOURCE_NAMES = ("_source", "source")
TARGET_NAMES = ("_target", "target")
#: Size of a frame's length prefix, in bytes.
FRAME_PREFIX_BYTES = 4


class UnknownLayoutError(Exception):
    """A version's harness has none of the expected names."""


def _resolve(place: str) -> tuple[Any, str]:
    """Return the owner of a `module:attribute` and the attribute's name.

    Raises:
        LookupError: it does not exist.
    """
    module_name, _, path = place.partition(":")
    *owners, name = path.split(".")
    try:
        owner: Any = importlib.import_module(module_name)
        for each in owners:
            owner = getattr(owner, each)
        getattr(owner, name)
    except ModuleNotFoundError as exc:
        if exc.name is None or not f"{module_name}.".startswith(f"{exc.name}."):
            raise
        raise LookupError(place) from None
    except AttributeError:
        raise LookupError(place) from None
    return owner, name


def find_first(places: tuple[str, ...]) -> tuple[Any, str]:
    """Return the owner and name of the first place that exists.

    Raises:
        UnknownLayoutError: none exists.
    """
    for place in places:
        try:
            return _resolve(place)
        except LookupError:
            continue
    raise UnknownLayoutError(f"none of {', '.join(places)}")


def find_value(places: tuple[str, ...]) -> Any:
    """Return the value at the first place that exists."""
    owner, name = find_first(places)
    return getattr(owner, name)


def canonical(value: Any) -> Any:
    """Convert decoded CBOR to JSON values: maps and sets sorted, other types kept distinct."""
    if isinstance(value, dict):
        items = {k if isinstance(k, str) else repr(k): canonical(v) for k, v in value.items()}
        return dict(sorted(items.items()))
    if isinstance(value, (list, tuple)):
        return [canonical(item) for item in value]
    if isinstance(value, (set, frozenset)):
        return {"set": sorted(repr(item) for item in value)}
    if value is None or isinstance(value, (str, bool, int, float)):
        return value
    return {type(value).__name__: repr(value)}


def decoded(body: bytes) -> Any:
    """Decode a body as its receiver does."""
    return canonical(cbor2.loads(body)) if body else None


def sent_body(message: Any) -> Any:
    """Convert a message to what its receiver will decode."""
    return None if message is None else decoded(cbor2.dumps(msgspec.to_builtins(message)))


class Recorder:
    """Writes the messages that pass the hooked functions of the harness to a file."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def _write(self, kind: str, source: str, target: str, **content: Any) -> None:
        message = {"at": time.monotonic(), "kind": kind, "from": source, "to": target, **content}
        self._out.write(json.dumps(message) + "\n")

    def hook(self, patch: pytest.MonkeyPatch) -> None:
        """Hook the harness to record requests, their responses, and frames between controllers."""
        owner, name = find_first(PLACES["ask"])
        patch.setattr(owner, name, self._recorded_request(getattr(owner, name)))
        owner, name = find_first(PLACES["send"])
        patch.setattr(owner, name, self._recorded_send(getattr(owner, name)))

    def _recorded_request(self, ask: Callable[..., Any]) -> Callable[..., Any]:
        signature = inspect.signature(ask)

        async def recording(*args: Any, **kwargs: Any) -> tuple[int, bytes]:
            """Record the request and its outcome."""
            _, source, target, method, path, message, timeout_s = signature.bind(
                *args, **kwargs
            ).arguments.values()
            request = {"method": method, "path": path}
            body = sent_body(message)
            self._write("request", source, target, **request, body=body, timeout_s=float(timeout_s))
            try:
                status, answer = await ask(*args, **kwargs)
            except curio.CancelledError:
                self._write("cancelled", target, source, **request)
                raise
            except Exception:
                self._write("failed", target, source, **request)
                raise
            self._write("answer", target, source, **request, status=status, body=decoded(answer))
            return status, answer

        return recording

    def _recorded_send(self, send: Callable[..., Any]) -> Callable[..., Any]:
        async def recording(link: Any, frame: bytes) -> Any:
            """Record the frame."""
            source, target = _attribute(link, SOURCE_NAMES), _attribute(link, TARGET_NAMES)
            self._write("frame", source, target, body=decoded(frame[FRAME_PREFIX_BYTES:]))
            return await send(link, frame)

        return recording


def _attribute(owner: Any, names: tuple[str, ...]) -> Any:
    for name in names:
        if hasattr(owner, name):
            return getattr(owner, name)
    raise UnknownLayoutError(f"{type(owner).__name__} has none of {', '.join(names)}")


def trouble_kinds(names: list[str]) -> list[str]:
    """Return fault kinds; a name in capitals is replaced by that list of the version's harness."""
    kinds: list[str] = []
    for name in names:
        if name.isupper():
            kinds += find_value(tuple(f"{module}:{name}" for module in TROUBLE_MODULES))
        else:
            kinds.append(name)
    return kinds


def play_day(day: dict[str, Any], recorder: Recorder) -> None:
    """Play a day with the fields of `tools.compare_messages.Day`, recording all messages."""
    options = dict(day)
    seed, kinds = options.pop("seed"), trouble_kinds(options.pop("kinds"))
    options["later"] = find_value(PLACES["later"]) if options.pop("upgrade") else None
    play = find_value(PLACES["play"])
    with pytest.MonkeyPatch.context() as patch:
        recorder.hook(patch)
        play(seed, kinds, patch, **options)


def check_sources(root: Path) -> None:
    """Check that the package and the harness are imported from the given version.

    Raises:
        UnknownLayoutError: they are imported from elsewhere.
    """
    for name in ("topazhold", "tests"):
        file = importlib.import_module(name).__file__
        if file is None or not Path(file).resolve().is_relative_to(root.resolve()):
            raise UnknownLayoutError(f"{name} is at {file}, not below {root}")


@click.command()
@click.option(
    "--root",
    required=True,
    type=click.Path(path_type=Path),
    help="Directory of the version's sources.",
)
@click.option("--day", required=True, help="The day, as JSON.")
@click.option(
    "--out", required=True, type=click.Path(path_type=Path), help="Output file for the messages."
)
@click.option("--variant", help="`module:function` to call first, which modifies the version.")
def main(root: Path, day: str, out: Path, variant: str | None) -> None:
    """Play one day with the version on the module search path, and write its messages."""
    logging.disable(logging.CRITICAL)
    check_sources(root)
    if variant is not None:
        find_value((variant,))()
    with out.open("w") as file:
        play_day(json.loads(day), Recorder(file))


if __name__ == "__main__":
    main()
