"""Schemas of stored operations, and the `duties` command that shows the operations."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import curio
import jsonschema
import msgspec
import pytest
from click.testing import CliRunner

from tests.fakes.key_value_store import FakeKeyValueStore
from tests.loopback import ROOT, LoopbackSimulation, free_port, serve
from tests.random_days import play
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.simulation.deployment import CONTROLLER_NAMES
from topazhold.cli import main
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.core.leadership import LEADER_KEY
from topazhold.operations.inspection import OPERATION_KINDS, OperationsReport, as_text, inspect
from topazhold.operations.records import (
    CLEANUP_PREFIX,
    RECORD_TYPES,
    SCALE_IN_PREFIX,
    SCALE_OUT_PREFIX,
    InvalidRecordError,
    decode_record,
)
from topazhold.operations.schemas import render_page, schema_of
from topazhold.operator_settings import OperatorSettings

COMMON_FIELDS = {"by": "d4-1", "term": 4, "number": 1, "at": 1.0}
SAMPLES: dict[str, dict[str, Any]] = {
    SCALE_IN_PREFIX: {"machines": {"host-1": "idle"}},
    SCALE_OUT_PREFIX: {
        "request": "hive-0-4-1",
        "machine_type": "b1",
        "zone": "a",
        "spot": False,
        "count": 3,
    },
    CLEANUP_PREFIX: {"job": "wk-000001", "parts": [1, 2]},
}
KEY_SUFFIX = "000000000004-00000001"


def test_schema_page_is_up_to_date() -> None:
    assert (ROOT / "docs" / "duties-schemas.md").read_text() == render_page()


def test_stored_records_match_the_published_schemas(monkeypatch: pytest.MonkeyPatch) -> None:
    simulation = play(30, ["cloud_held", "crash_leader"], monkeypatch, trouble_s=40.0, calm_s=60.0)
    stored = [(key, data) for _, key, data in simulation.store.changes if data is not None]
    checked = 0
    for prefix in RECORD_TYPES:
        for key, data in stored:
            if key.startswith(prefix):
                jsonschema.validate(data, schema_of(prefix))
                checked += 1
    assert checked > 5


@pytest.mark.parametrize("prefix", list(SAMPLES))
def test_schema_and_decoder_reject_the_same_values(prefix: str) -> None:
    """Fields that are missing, of a wrong type or out of bounds are rejected by both."""
    valid = {**COMMON_FIELDS, **SAMPLES[prefix]}
    key = prefix + KEY_SUFFIX
    jsonschema.validate(valid, schema_of(prefix))
    assert decode_record(key, valid).number == 1
    for field in valid:
        missing = {name: value for name, value in valid.items() if name != field}
        for invalid in (missing, {**valid, field: []}, {**valid, field: -1}, {**valid, field: ""}):
            with pytest.raises(jsonschema.ValidationError):
                jsonschema.validate(invalid, schema_of(prefix))
            with pytest.raises(InvalidRecordError):
                decode_record(key, invalid)


def start_duties_command(simulation: LoopbackSimulation, *options: str) -> subprocess.Popen[str]:
    config = str(simulation.write_settings(CONTROLLER_NAMES[0]))
    command = [sys.executable, "run.py", "duties", "--config", config, *options]
    pipe = subprocess.PIPE
    return subprocess.Popen(command, cwd=ROOT, stdout=pipe, stderr=pipe, text=True)


def test_duties_command_shows_leader_and_operations(tmp_path: Path) -> None:
    outputs: list[str] = []

    async def scenario() -> None:
        simulation = LoopbackSimulation(1, tmp_path, "")
        port = simulation.ports[CONTROLLER_NAMES[0]]["state"]
        serving = await curio.spawn(
            serve, port, lambda: simulation.store.handle, CONTROLLER_NAMES[0]
        )
        simulation.store.data[LEADER_KEY] = ({"node": "hive-2", "crown": 4}, 7, None)
        for number, (prefix, sample) in enumerate(SAMPLES.items()):
            simulation.store.data[prefix + KEY_SUFFIX] = (
                {**COMMON_FIELDS, **sample},
                8 + number,
                None,
            )
        simulation.store.data[f"{SCALE_IN_PREFIX}odd"] = ({"machines": 1}, 20, None)
        stored_before = dict(simulation.store.data)
        for options in ((), ("--json",)):
            process = start_duties_command(simulation, *options)
            while process.poll() is None:
                await curio.sleep(0.05)
            assert process.returncode == 0, process.communicate()
            outputs.append(process.communicate()[0])
        assert simulation.store.data == stored_before, "the command changed stored data"
        await serving.cancel()

    curio.run(scenario)
    text, data = outputs[0], json.loads(outputs[1])
    assert text.count("hive-2, term 4") == len(OPERATION_KINDS) and "host-1 (idle)" in text
    assert {entry["kind"] for entry in data["orders"]} == {
        "return",
        "rental",
        "clean-up",
        "unreadable",
    }
    assert all(len(line) <= 100 for line in text.splitlines())


def test_duties_command_fails_without_store_or_settings(tmp_path: Path) -> None:
    simulation = LoopbackSimulation(1, tmp_path, "")
    assert FakeKeyValueStore.HOST in simulation.network.hosts  # created, but not served
    simulation.ports[CONTROLLER_NAMES[0]]["state"] = free_port()
    result = CliRunner().invoke(
        main, ["duties", "--config", str(simulation.write_settings(CONTROLLER_NAMES[0]))]
    )
    assert result.exit_code == 3 and len(result.stderr.strip().splitlines()) == 1
    assert "state service" in result.stderr
    result = CliRunner().invoke(main, ["duties", "--config", str(tmp_path / "none.toml")])
    assert result.exit_code == 2 and len(result.stderr.strip().splitlines()) == 1


def test_duties_command_shows_refused_operations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: an operation that can't be recorded is visible only in the leader's log."""
    reports: list[OperationsReport] = []

    async def act(scenario: Scenario) -> None:
        await scenario.start(machines=4)
        leader = scenario.leader()
        assert leader is not None
        log = scenario.controllers[leader].leader_term.operations.operation_log
        operation = log.decide_scale_out(ScaleOutRequest("b1", "a", False, 1), 1.0)
        operation.record = msgspec.structs.replace(operation.record, count=0)
        await curio.sleep(3 * OperatorSettings().summary_s)
        store = scenario.controllers[leader].leader_term.context.store
        reports.append(await inspect(scenario.settings, lambda client, timeout_s: store))
        (shown,) = reports[0].refused
        assert (shown.key, shown.kind) == (operation.key, "rental") and "count" in shown.reason
        assert operation.key in as_text(reports[0])
        await scenario.stop(leader)
        await scenario.wait_for_new_leader(leader)
        await curio.sleep(3 * OperatorSettings().summary_s)
        store = next(iter(scenario.controllers.values())).services.store
        reports.append(await inspect(scenario.settings, lambda client, timeout_s: store))
        assert reports[1].refused == [], "refused operations are not passed on to a successor"

    assert_no_violations(run_scenario(act, monkeypatch))
