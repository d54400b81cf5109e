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
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from topazhold.settings import Settings

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "topazhold"
PRODUCTION_PACKAGE = "topazhold_production"

_IMPORT = re.compile(rf"^(\s*(?:from|import)\s+){PACKAGE}\b", re.MULTILINE)


@dataclass(frozen=True)
class Version:
    """One version of the package: its modules, found by their names in it."""

    package: str

    def module(self, name: str) -> ModuleType:
        """A module of this version, such as `control.node`."""
        return importlib.import_module(f"{self.package}.{name}")

    def settings(self, settings: Settings) -> Any:
        """The same settings as this version reads them."""
        if self.package == PACKAGE:
            return settings
        return msgspec.convert(msgspec.to_builtins(settings), self.module("settings").Settings)


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
