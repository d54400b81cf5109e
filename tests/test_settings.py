"""Settings files, operator settings and the command line."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from topazhold import settings as conf
from topazhold.cli import main

VALID_SETTINGS = """
node_name = "hive-0"
domain = "a"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
something_new = 1

[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"

[cluster]
zones = ["a"]
clock_error_ms = 100.0

[[cluster.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0

[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 30.0

[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16

[cluster.cloud]
rps = 5.0
list_lag_s = 5.0

[cluster.limits]
cpu_share = 0.4
mem_mb = 146.0
sockets = 700
"""

OBJECTIVE = '[[cluster.objectives]]\nkind = "wait"\nclass = "train"\nwithin_s = '


@pytest.fixture
def settings_path(tmp_path: Path) -> Path:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS)
    return path


def test_valid_settings_load_and_unknown_fields_are_ignored(settings_path: Path) -> None:
    settings = conf.load(settings_path)
    assert settings.cluster.teams[0].gpus_max == 8.0
    result = CliRunner().invoke(main, ["check", "--config", str(settings_path)])
    assert result.exit_code == 0 and "hive-0" in result.output


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('node_name = "hive-0"\n', "", "node_name"),
        ("report_s = 1.0", 'report_s = "soon"', "report_s"),
        ("report_s = 1.0", "report_s = 0.0", "cluster.workers.report_s"),
        ("lease_s = 10.0", "lease_s = 1.5", "cluster.workers.lease_s"),
        ("gpus = 4.0", "gpus = 9.0", "cluster.teams.red.gpus"),
        ("gpus = 4.0", "gpus = nan", "cluster.teams.red.gpus"),
        ('bind = "127.0.0.1:8080"', 'bind = "nowhere"', "bind"),
        ('zones = ["a"]', "zones = []", "cluster.zones"),
        ("txn_ops = 16", "txn_ops = 16.5", "txn_ops"),
        ("[outside]", "[outside", "not TOML"),
        ("[cluster.workers]", f"{OBJECTIVE}nan\n[cluster.workers]", "within_s of train"),
        ("[cluster.workers]", f"{OBJECTIVE}inf\n[cluster.workers]", "within_s of train"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(
    settings_path: Path, old: str, new: str, field: str
) -> None:
    settings_path.write_text(VALID_SETTINGS.replace(old, new))
    result = CliRunner().invoke(main, ["check", "--config", str(settings_path)])
    assert result.exit_code == 2
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1 and str(settings_path) in lines[0] and field in lines[0]


def test_missing_settings_file_is_reported(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["--config", str(tmp_path / "none.toml")])
    assert result.exit_code == 2 and "none.toml" in result.stderr


def test_operator_settings_load(settings_path: Path, tmp_path: Path) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text("# a comment\nalpha: 3.0\nuse_spot: false\n")
    operator = conf.load_operator_settings(path)
    assert (
        operator.candidates_per_task == 3.0 and not operator.use_spot and operator.summary_s == 5.0
    )
    assert conf.load_operator_settings(None) == conf.OperatorSettings()


@pytest.mark.parametrize(
    ("text", "field"),
    [("alhpa: 3.0", "alhpa"), ("alpha: 0.5", "alpha"), ("alpha: nan", "alpha"), ("alpha 3", "")],
)
def test_invalid_operator_settings_are_reported_in_one_line(
    settings_path: Path, tmp_path: Path, text: str, field: str
) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text(text)
    result = CliRunner().invoke(
        main, ["check", "--config", str(settings_path), "--operator", str(path)]
    )
    assert result.exit_code == 2
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1 and str(path) in lines[0] and field in lines[0]


def test_deployed_operator_settings_version_and_help() -> None:
    deployed = Path(__file__).resolve().parent.parent / "deploy" / "operator.textproto"
    assert conf.load_operator_settings(deployed).headroom_share > 0
    result = CliRunner().invoke(main, ["--version"])
    assert result.exit_code == 0 and "topazhold" in result.output
    assert CliRunner().invoke(main, ["--help"]).exit_code == 0
