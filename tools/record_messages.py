"""Plays one seeded day of a version and writes down every message that goes over its wire.

`tools.compare_messages` runs this file by its path, with the version's sources on the module
search path, so it needs nothing of the version but the names in `PLACES` and
`TROUBLE_MODULES`. A message is one line of JSON with its virtual time, sender and target;
bodies are decoded, and so carry the protocol's names, whatever the code calls them.
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

#: Where the harness has what is hooked or called; the first place that exists counts.
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
#: Modules with the lists of the kinds of trouble.
TROUBLE_MODULES = ("tests.random_days", "tests.test_random_days")
#: Attributes in which a link between controllers keeps its two ends.
SOURCE_NAMES = ("_source", "source")
TARGET_NAMES = ("_target", "target")
#: Bytes of a frame's length in front of its CBOR.
FRAME_PREFIX_BYTES = 4


class UnknownLayoutError(Exception):
    """A version's harness has none of the places that are looked for."""


def _resolve(place: str) -> tuple[Any, str]:
    """The owner of a `module:attribute` and the attribute's name; LookupError if there is none."""
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
    """The owner and name of the first place that exists.

    Raises:
        UnknownLayoutError: none does.
    """
    for place in places:
        try:
            return _resolve(place)
        except LookupError:
            continue
    raise UnknownLayoutError(f"none of {', '.join(places)}")


def find_value(places: tuple[str, ...]) -> Any:
    """What is at the first place that exists."""
    owner, name = find_first(places)
    return getattr(owner, name)


def canonical(value: Any) -> Any:
    """Decoded CBOR as JSON has it, with maps and sets in one order and each type told apart."""
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
    """A body as its receiver reads it."""
    return canonical(cbor2.loads(body)) if body else None


def sent_body(message: Any) -> Any:
    """A message as its receiver will read it."""
    return None if message is None else decoded(cbor2.dumps(msgspec.to_builtins(message)))


class Recorder:
    """Writes messages down as they pass the hooked places of the harness."""

    def __init__(self, out: IO[str]) -> None:
        self._out = out

    def _write(self, kind: str, source: str, target: str, **content: Any) -> None:
        message = {"at": time.monotonic(), "kind": kind, "from": source, "to": target, **content}
        self._out.write(json.dumps(message) + "\n")

    def hook(self, patch: pytest.MonkeyPatch) -> None:
        """Record requests with their answers, and frames between controllers."""
        owner, name = find_first(PLACES["ask"])
        patch.setattr(owner, name, self._recorded_request(getattr(owner, name)))
        owner, name = find_first(PLACES["send"])
        patch.setattr(owner, name, self._recorded_send(getattr(owner, name)))

    def _recorded_request(self, ask: Callable[..., Any]) -> Callable[..., Any]:
        signature = inspect.signature(ask)

        async def recording(*args: Any, **kwargs: Any) -> tuple[int, bytes]:
            """Write down the request, and what came of it."""
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
            """Write down the frame."""
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
    """Kinds of trouble; a name in capitals stands for a list of the version's harness."""
    kinds: list[str] = []
    for name in names:
        if name.isupper():
            kinds += find_value(tuple(f"{module}:{name}" for module in TROUBLE_MODULES))
        else:
            kinds.append(name)
    return kinds


def play_day(day: dict[str, Any], recorder: Recorder) -> None:
    """Play a day, described by `tools.compare_messages.Day`, with all its messages recorded."""
    options = dict(day)
    seed, kinds = options.pop("seed"), trouble_kinds(options.pop("kinds"))
    options["later"] = find_value(PLACES["later"]) if options.pop("upgrade") else None
    play = find_value(PLACES["play"])
    with pytest.MonkeyPatch.context() as patch:
        recorder.hook(patch)
        play(seed, kinds, patch, **options)


def check_sources(root: Path) -> None:
    """Make sure that the package and the harness are those of the given version.

    Raises:
        UnknownLayoutError: they come from somewhere else.
    """
    for name in ("topazhold", "tests"):
        file = importlib.import_module(name).__file__
        if file is None or not Path(file).resolve().is_relative_to(root.resolve()):
            raise UnknownLayoutError(f"{name} is at {file}, not below {root}")


@click.command()
@click.option("--root", required=True, type=click.Path(path_type=Path), help="The sources.")
@click.option("--day", required=True, help="The day, as JSON.")
@click.option("--out", required=True, type=click.Path(path_type=Path), help="The messages' file.")
@click.option("--variant", help="`module:function` to call first: a change of the version.")
def main(root: Path, day: str, out: Path, variant: str | None) -> None:
    """Play one day of the version on the module search path, and write its messages."""
    logging.disable(logging.CRITICAL)
    check_sources(root)
    if variant is not None:
        find_value((variant,))()
    with out.open("w") as file:
        play_day(json.loads(day), Recorder(file))


if __name__ == "__main__":
    main()
