"""Intents: transactions within the protocol's limits, no guard ever left out."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest

from tests.conftest import BREED, make_spec
from tests.standins import VirtualTime, run_virtual, settings_for
from topazhold.control.intents import Intents
from topazhold.control.office import Office
from topazhold.core.holds import HoldBook
from topazhold.core.jobs import Job, Run, RunState
from topazhold.core.realm import Realm
from topazhold.settings import Operator
from topazhold.wire import messages as wire


class Ledger:
    """A store that keeps what it was asked, within the protocol's limits."""

    def __init__(self, txn_ops: int) -> None:
        self.txn_ops = txn_ops
        self.guarded: list[set[str]] = []
        self.puts: list[set[str]] = []

    async def commit(self, guards: list[Any], then: list[Any], *_: Any, **__: Any) -> int:
        return await self.multi(guards, then)

    async def multi(self, guards: list[Any], then: list[Any], *_: Any) -> int:
        assert len(then) <= self.txn_ops
        assert len(guards) <= 4 * self.txn_ops
        body = wire.multi_body([wire.guard(key, mark) for key, mark in guards], then)
        assert len(str(body)) < 64 * 1024
        self.guarded.append({key for key, _ in guards})
        self.puts.append({wire.changed_key(change) for change in then})
        return len(self.guarded)


def write_plan(monkeypatch: pytest.MonkeyPatch, machines: int, jobs: int) -> tuple[Ledger, Any]:
    """A plan of so many one-task jobs over so many machines, written."""
    settings = settings_for("hive-0", "a", [])
    store = Ledger(settings.cluster.state.txn_ops)
    realm = Realm(settings, Operator(), 3, HoldBook("hive-0"), Random(1), 0.0)
    realm.breeds = {"b1": BREED}
    names = [f"host-{number:06d}" for number in range(machines)]
    for name in names:
        realm.add_machine(name, "a", False, "b1", 0.0)
    runs = []
    for number in range(jobs):
        job = Job(make_spec(number, frames=1, shape="batch"), 0.0, 0.0, "hive-0")
        job.mark = 1
        realm.add_job(job)
        runs.append(Run(job, 0, 1, names[number % machines], 0.0))
        job.add_run(runs[-1])
        realm.machines[runs[-1].machine].attach(runs[-1])

    async def main(clock: VirtualTime) -> None:
        await curio.sleep(0)
        office = Office(settings, store, realm, 3, 7, lambda now: True)  # type: ignore[arg-type]
        await Intents(office).write(runs)

    run_virtual(main, monkeypatch)
    return store, runs


def test_every_planned_job_is_guarded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards beyond four times `txn_ops` used to be cut: the last jobs of a plan of
    many small ones could be launched though they had been cancelled in between."""
    store, runs = write_plan(monkeypatch, machines=8, jobs=96)
    assert all(run.state is RunState.WRITTEN for run in runs)
    for run in runs:
        assert any(
            f"live/{run.job.id}" in guarded and "queen/now" in guarded for guarded in store.guarded
        ), run.job.id


def test_plan_over_many_shelves_and_full_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shelves that split while they are written must not make a transaction too large."""
    store, runs = write_plan(monkeypatch, machines=80, jobs=6000)
    assert all(run.state is RunState.WRITTEN for run in runs)
    assert len(set().union(*store.puts)) > 5
