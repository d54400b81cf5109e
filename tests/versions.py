"""Loads earlier versions next to the current one, so that tests can run both.

The production version is the commit named in `deploy/service.toml`. Sources are extracted from
the repository's history under another package name, so that several versions can be loaded in
one process without sharing a module.
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
#: The last version that renews leases for as long as a silent peer had said that it could end
#: the tasks of cancelled jobs. Its modules and members have their present names.
UNLIMITED_RENEWAL_COMMIT = "e8286454df603d90ce145d3dff7c2b8042f4392b"
UNLIMITED_RENEWAL_PACKAGE = "topazhold_unlimited_renewal"
#: The last version that stops a gang's start before the workers do, with all its fetches.
STARTS_WITHOUT_FETCHING_COMMIT = "85646869383bb18c74e6ef37e7bcf63b85d7b0a8"
STARTS_WITHOUT_FETCHING_PACKAGE = "topazhold_starts_without_fetching"

#: Modules, and classes, functions and attributes, that were renamed or moved since the
#: production version: current name -> production's name. Code that uses both versions refers
#: to everything by its current name, through `Version.module` and `member`; a dotted name is
#: resolved attribute by attribute.
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
    """One version of the package, whose modules are looked up by their current names."""

    package: str

    def module(self, name: str) -> ModuleType:
        """Return a module of this version by its name in the current version."""
        if self.package == PRODUCTION_PACKAGE:
            name = PRODUCTION_MODULES.get(name, name)
        return importlib.import_module(f"{self.package}.{name}")

    def load(self, module: str, name: str) -> Any:
        """Return a class or function of a module, both by their names in the current version."""
        return member(self.module(module), name)

    def settings(self, settings: Settings) -> Any:
        """Convert settings to this version's types."""
        if self.package == PACKAGE:
            return settings
        return msgspec.convert(msgspec.to_builtins(settings), self.load("settings", "Settings"))


def member(owner: Any, name: str) -> Any:
    """Return a member of a module or object of either version by its name in the current one."""
    module = owner.__name__ if isinstance(owner, ModuleType) else type(owner).__module__
    if module.partition(".")[0] == PRODUCTION_PACKAGE:
        name = PRODUCTION_MEMBERS.get(name, name)
    return attrgetter(name)(owner)


CURRENT = Version(PACKAGE)


def production_commit() -> str:
    """Return the commit that runs in production according to `deploy/service.toml`."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return str(deploy["production"])


@cache
def production() -> Version:
    """Load the production version; fails if its commit is not in the history."""
    return _load_commit(production_commit(), PRODUCTION_PACKAGE)


@cache
def unlimited_renewal() -> Version:
    """Load the last version without a limit of renewals; fails if it is not in the history."""
    return _load_commit(UNLIMITED_RENEWAL_COMMIT, UNLIMITED_RENEWAL_PACKAGE)


@cache
def starts_without_fetching() -> Version:
    """Load the last version without the state `FETCHING`; fails if it is not in the history."""
    return _load_commit(STARTS_WITHOUT_FETCHING_COMMIT, STARTS_WITHOUT_FETCHING_PACKAGE)


def _load_commit(commit: str, package: str) -> Version:
    """Extract a commit's sources, and make them importable as `package`."""
    archive = subprocess.run(
        ["git", "archive", commit, PACKAGE],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    folder = Path(tempfile.mkdtemp(prefix=f"{package}-"))
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    for path in (folder / PACKAGE).rglob("*.py"):
        path.write_text(_IMPORT.sub(rf"\1{package}", path.read_text()))
    (folder / PACKAGE).rename(folder / package)
    sys.path.insert(0, str(folder))
    return Version(package)


# -- access to a controller of either version ------------------------


async def deliver_peer_message(controller: Any, message: tuple[Any, ...]) -> None:
    """Deliver a message of another controller to `controller`."""
    await member(controller, "peer_message")(message)


def leader_term(controller: Any) -> Any:
    """Return the term that a controller leads, or None."""
    return member(controller, "leader_term")


def is_leading(controller: Any) -> bool:
    """Return whether a controller has been elected and has not stepped down."""
    return leader_term(controller) is not None


def has_loaded(controller: Any) -> bool:
    """Return whether a controller leads and has loaded the stored state."""
    return is_leading(controller) and member(leader_term(controller), "loaded")


def fencing_token(controller: Any) -> int:
    """Return the fencing token of the term that a controller leads."""
    return int(member(leader_term(controller), "term"))
