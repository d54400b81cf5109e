"""The versions of the service that the tests run side by side.

The production version is the commit that `deploy/service.toml` names. Its sources come out
of this repository's history, under a package name of their own, so that both versions can
be loaded in one process without sharing a module.
"""

from __future__ import annotations

import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from functools import cache
from operator import attrgetter
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from topazhold.settings import Settings

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "topazhold"
PRODUCTION_PACKAGE = "topazhold_production"

#: What production calls the modules, and the classes, functions and attributes in them, that
#: have other names or stand elsewhere now: today's name -> production's. Whoever uses both
#: versions names things as they are called today, and gets at them by `Version.module` and
#: `member`; a name with dots leads through the parts of an object.
PRODUCTION_MODULES: dict[str, str] = {
    "control.controller": "control.node",
    "control.cluster_view": "control.booking",
    "core.reservations": "core.holds",
}
PRODUCTION_MEMBERS: dict[str, str] = {
    "ClusterView": "View",
    "Controller": "Node",
    "Heartbeat": "Report",
    "NoResponseError": "NoAnswer",
    "OperatorSettings": "Operator",
    "RequestNotSentError": "NotSent",
    "_acknowledged": "_acked",
    "by_machine": "places",
    "_silent_machines": "_silent",
    "completed": "done",
    "completed_count": "done_count",
    "ended_at": "over_at",
    "ended_stage": "over_stage",
    "follower_heartbeats": "fallback",
    "leader_term": "leading",
    "lists_all_waiting": "all_waiting",
    "mark_completed": "mark_done",
    "peers.connections": "links",
    "placement_search.cluster_view": "view",
    "read_ended_job": "read_over",
    "read_intents": "read_on",
    "read_leader_value": "read_value",
    "read_live_job": "read_live",
    "run_background_loops": "work",
    "services.rng": "rng",
    "state.cancellations": "cancellations",
    "state.leadership": "leadership",
    "state.placement_hints": "placements",
}

_IMPORT = re.compile(rf"^(\s*(?:from|import)\s+){PACKAGE}\b", re.MULTILINE)


@dataclass(frozen=True)
class Version:
    """One version of the package: its modules, found by their names in it."""

    package: str

    def module(self, name: str) -> ModuleType:
        """A module of this version, by the name that it has in the current one."""
        if self.package == PRODUCTION_PACKAGE:
            name = PRODUCTION_MODULES.get(name, name)
        return importlib.import_module(f"{self.package}.{name}")

    def load(self, module: str, name: str) -> Any:
        """A class or function of a module, both by the names they have in the current version."""
        return member(self.module(module), name)

    def settings(self, settings: Settings) -> Any:
        """The same settings as this version reads them."""
        if self.package == PACKAGE:
            return settings
        return msgspec.convert(msgspec.to_builtins(settings), self.load("settings", "Settings"))


def member(owner: Any, name: str) -> Any:
    """What stands in a module, or in an object of a version, by its name in the current one."""
    module = owner.__name__ if isinstance(owner, ModuleType) else type(owner).__module__
    if module.partition(".")[0] == PRODUCTION_PACKAGE:
        name = PRODUCTION_MEMBERS.get(name, name)
    return attrgetter(name)(owner)


CURRENT = Version(PACKAGE)


def production_commit() -> str:
    """The commit that runs in production, as the deploy file names it."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return str(deploy["production"])


@cache
def production() -> Version:
    """The production version; fails if its commit is not in the history."""
    archive = subprocess.run(
        ["git", "archive", production_commit(), PACKAGE],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    folder = Path(tempfile.mkdtemp(prefix="production-"))
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    for path in (folder / PACKAGE).rglob("*.py"):
        path.write_text(_IMPORT.sub(rf"\1{PRODUCTION_PACKAGE}", path.read_text()))
    (folder / PACKAGE).rename(folder / PRODUCTION_PACKAGE)
    sys.path.insert(0, str(folder))
    return Version(PRODUCTION_PACKAGE)


# -- what the harness asks of a controller of either version ------------------------


async def deliver_peer_message(controller: Any, message: tuple[Any, ...]) -> None:
    """A message of another controller arrives."""
    await member(controller, "peer_message")(message)


def leader_term(controller: Any) -> Any:
    """The term that a controller leads, or None."""
    return member(controller, "leader_term")


def is_leading(controller: Any) -> bool:
    """Whether it has been elected and has not given up."""
    return leader_term(controller) is not None


def has_loaded(controller: Any) -> bool:
    """Whether it leads and has read all that is stored."""
    return is_leading(controller) and member(leader_term(controller), "loaded")


def fencing_token(controller: Any) -> int:
    """The fencing token of the term that it leads."""
    return int(member(leader_term(controller), "term"))
