"""The comparison of two versions must detect a single different message."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import cbor2
import click
import pytest
from click.testing import CliRunner

from tools import compare_messages
from tools.compare_messages import (
    ROOT,
    SOURCES,
    Day,
    Difference,
    Outcome,
    PlayError,
    compare,
    day_of,
    describe,
    extract_sources,
    first_difference,
    main,
    record,
)
from tools.record_messages import (
    UnknownLayoutError,
    canonical,
    check_sources,
    find_value,
    sent_body,
)

#: Jobs run, end and are cleared within this day.
SHORT_DAY = Day(seed=8, jobs=6, trouble_s=6.0, calm_s=60.0)
MESSAGES = ["a", "b", "c", "d"]


# -- faulty variants, called in the recorder's process -------------------------


def _change_outgoing(change: Callable[[dict[str, Any]], dict[str, Any]]) -> None:
    """Apply `change` to each outgoing map in `cbor2.dumps`, which all senders use."""
    dumps = cbor2.dumps

    def dumps_changed(value: Any, *args: Any, **kwargs: Any) -> bytes:
        return dumps(change(value) if isinstance(value, dict) else value, *args, **kwargs)

    cbor2.dumps = dumps_changed  # type: ignore[assignment]


def drop_one_clear() -> None:
    """Drop all `clear` commands of the first task that is to be cleared."""
    dropped: list[tuple[str, int]] = []

    def is_dropped(command: dict[str, Any]) -> bool:
        if command["call"] != "clear":
            return False
        task = (command["frame"], command["try"])
        if not dropped:
            dropped.append(task)
        return task == dropped[0]

    def change(message: dict[str, Any]) -> dict[str, Any]:
        if "calls" not in message:
            return message
        return message | {
            "calls": [command for command in message["calls"] if not is_dropped(command)]
        }

    _change_outgoing(change)


def reorder_operations() -> None:
    """Reverse the order of the operations in each transaction."""

    def change(message: dict[str, Any]) -> dict[str, Any]:
        if "guards" not in message:
            return message
        return message | {"then": message["then"][::-1]}

    _change_outgoing(change)


# -- the comparison ------------------------------------------------------------


@cache
def recorded(variant: str | None = None) -> list[str]:
    """Return the messages of the short day; `variant` names a function of this module to apply."""
    name = None if variant is None else f"{__name__}:{variant}"
    with TemporaryDirectory() as folder:
        return record(ROOT, SHORT_DAY, Path(folder), name).read_text().splitlines()


def parsed_difference(variant: str) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the first two messages that differ between the short day and its variant."""
    _, difference = first_difference(recorded(), recorded(variant))
    assert difference is not None, f"{variant} was missed"
    assert difference.base is not None
    assert difference.work is not None
    return json.loads(difference.base), json.loads(difference.work)


@pytest.mark.parametrize(
    ("work", "index", "base_message", "work_message"),
    [
        (["a", "c", "d"], 1, "b", "c"),
        (["a", "b", "c"], 3, "d", None),
        (["a", "b", "x", "c", "d"], 2, "c", "x"),
        (["a", "b", "c", "d", "x"], 4, None, "x"),
        (["a", "c", "b", "d"], 1, "b", "c"),
        (["x", "b", "c", "d"], 0, "a", "x"),
        ([], 0, "a", None),
    ],
    ids=["missing", "missing_last", "extra", "extra_last", "reordered", "changed", "none"],
)
def test_first_difference_is_found(
    work: list[str], index: int, base_message: str | None, work_message: str | None
) -> None:
    result = first_difference(MESSAGES, work)
    assert result == (index, Difference(index, base_message, work_message))


def test_equal_messages_are_counted() -> None:
    assert first_difference(MESSAGES, list(MESSAGES)) == (4, None)
    assert first_difference(["a"], ["a"]) == (1, None)
    assert first_difference([], []) == (0, None)


def test_version_equals_itself() -> None:
    assert len(recorded()) > 500
    kinds = {json.loads(line)["kind"] for line in recorded()}
    assert kinds >= {"request", "answer", "frame"}
    outcomes = list(compare(ROOT, ROOT, [SHORT_DAY], jobs=1))
    assert outcomes == [Outcome(SHORT_DAY, len(recorded()), None)]


def test_missing_command_is_found() -> None:
    base, work = parsed_difference("drop_one_clear")
    assert base["kind"] == work["kind"]
    calls = base["body"]["calls"]
    remaining = work["body"].pop("calls")
    assert len(remaining) == len(calls) - 1
    (missing,) = [call for call in calls if call not in remaining]
    assert missing["call"] == "clear"
    assert base["body"] == work["body"] | {"calls": calls}


def test_reordered_operations_are_found() -> None:
    base, work = parsed_difference("reorder_operations")
    assert base["path"] == "/multi"
    assert base["body"]["then"] != work["body"]["then"]
    work["body"]["then"].reverse()
    assert base == work


def test_difference_names_seed_index_and_both_messages() -> None:
    text = describe(Outcome(SHORT_DAY, 3, None), Difference(3, "theirs", None))
    assert text.startswith("different: seed 8, message 3\n")
    assert "base: theirs\nwork: no more messages" in text


@pytest.mark.parametrize(
    ("difference", "exit_code", "text"),
    [
        (None, 0, "equal: 6 messages, 2 seeds from 5, base HEAD"),
        (Difference(3, "theirs", "ours"), 1, "different: seed 8, message 3"),
    ],
    ids=["equal", "different"],
)
def test_exit_code_depends_on_the_outcome(
    difference: Difference | None, exit_code: int, text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    outcomes = [Outcome(SHORT_DAY, 3, None), Outcome(SHORT_DAY, 3, difference)]
    monkeypatch.setattr(compare_messages, "compare", lambda *_: outcomes)
    result = CliRunner().invoke(main, ["--base", "HEAD", "--seeds", "2", "--first-seed", "5"])
    assert result.exit_code == exit_code
    assert text in result.output


def test_failure_to_play_a_day_has_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: Any) -> Any:
        raise PlayError("seed 8")

    monkeypatch.setattr(compare_messages, "compare", fail)
    assert CliRunner().invoke(main, ["--base", "HEAD"]).exit_code == 2


# -- playing and recording ------------------------------------------------------


def test_extracted_sources_are_deleted_with_the_context() -> None:
    with extract_sources("HEAD") as folder:
        assert {path.name for path in folder.iterdir()} == set(SOURCES)
    assert not folder.exists()
    with pytest.raises(click.BadParameter), extract_sources("no-such-commit"):
        pass


def test_day_that_cannot_be_played_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(PlayError, match="No module named 'topazhold'"):
        record(tmp_path, SHORT_DAY, tmp_path / "out")
    check_sources(ROOT)
    with pytest.raises(UnknownLayoutError, match="not below"):
        check_sources(tmp_path)


def test_days_mix_troubles_services_and_upgrades() -> None:
    days = [day_of(seed) for seed in range(1, 31)]
    assert [day.seed for day in days] == list(range(1, 31))
    assert sum(day.upgrade for day in days) >= 3
    assert sum(day.services > 0 for day in days) >= 3
    assert sum("MANY" in day.kinds for day in days) >= 6


def test_first_place_that_exists_is_used() -> None:
    existing = f"{__name__}:MESSAGES"
    assert (
        find_value(("tests.no_such_module:name", f"{__name__}:no_such_name", existing)) is MESSAGES
    )
    with pytest.raises(UnknownLayoutError, match="no_such_name"):
        find_value((f"{__name__}:no_such_name",))


def test_canonical_bodies_keep_types_but_not_the_order_of_maps() -> None:
    assert json.dumps(canonical({"b": 1, "a": 2})) == json.dumps(canonical({"a": 2, "b": 1}))
    assert json.dumps(canonical([1, 2])) != json.dumps(canonical([2, 1]))
    values = [1, 1.0, "1", True, b"1", None, {1}, [1], {"1": 1}, {1: 1}]
    assert len({json.dumps(canonical(value)) for value in values}) == len(values) - 1
    assert sent_body(None) is None
