"""Real processes on loopback, paused and resumed: no stale operation takes effect."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.pause_scenarios import run_pause_scenario


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
def test_resumed_former_leader_executes_no_stale_operation(
    point: str, kind: str, tmp_path: Path
) -> None:
    outcome = run_pause_scenario(tmp_path, point, kind)
    assert outcome.executed > 0
    assert outcome.violations == []
    assert outcome.stale_unrecorded == outcome.returned_twice == 0
