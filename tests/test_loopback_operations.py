"""Real processes on loopback, stopped and continued: no stale order takes effect."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.pause_scenarios import play_pause


@pytest.mark.parametrize(
    ("point", "kind"),
    [
        ("before_record", "return"),
        ("after_record", "return"),
        ("before_answer", "return"),
        ("after_record", "rental"),
        ("after_answer", "rental"),
    ],
)
def test_stopped_executor_goes_on_after_its_successor(
    point: str, kind: str, tmp_path: Path
) -> None:
    outcome = play_pause(tmp_path, point, kind)
    assert outcome.executed > 0
    assert outcome.broken == []
    assert outcome.stale_effect == outcome.returned_twice == 0
