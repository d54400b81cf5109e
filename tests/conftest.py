"""What the direct tests share: specs, realms and reports made to measure."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tests.standins import settings_for
from topazhold.core.holds import Hold, HoldBook
from topazhold.core.jobs import Job, Run
from topazhold.core.preemption import turn
from topazhold.core.realm import Realm
from topazhold.settings import Operator
from topazhold.wire.messages import Breed, Call, FrameReport, JobSpec, Report


def make_spec(number: int = 1, **changes: Any) -> JobSpec:
    fields: dict[str, Any] = {
        "id": f"wk-{number:06d}",
        "lane": "train",
        "crew": "red",
        "shape": "gang",
        "urgency": "normal",
        "frames": 2,
        "vcpus": 4.0,
        "cards": 2.0,
        "ram_gb": 8.0,
        "comb": "img-0",
        "image_gb": 4.0,
        "same_place": True,
        "scatter": False,
        "drones": False,
        "forage_s": 20.0,
        "cap_s": 5.0,
        "seal_s": 1.0,
    }
    fields.update(changes)
    return JobSpec(**fields)


BREED = Breed("b1", 16.0, 4.0, 64.0, 10.0, 30.0, ["a", "b"], 100.0, 2.0, 4.0)


class Bench:
    """A realm with ready machines, driven by hand."""

    def __init__(self, machines: int = 4, term: int = 5) -> None:
        self.now = 100.0
        settings = settings_for("hive-0", "a", [])
        self.book = HoldBook("hive-0")
        self.realm = Realm(settings, Operator(), term, self.book, Random(1), self.now)
        self.realm.breeds = {"b1": BREED}
        self.tallies: dict[str, int] = {}
        self.frames: dict[str, dict[tuple[str, int], FrameReport]] = {}
        for number in range(machines):
            self.report(f"host-{number}", zone="ab"[number % 2])

    def job(self, spec: JobSpec) -> Job:
        job = Job(spec, self.now, self.now + 1e9, "hive-0")
        self.realm.add_job(job)
        return job

    def hold(self, job: Job, slots: dict[str, int], serial: int = 1) -> Hold:
        hold = Hold(job.id, slots, job.need, 0.0, serial, 1e9, True, turn(job))
        self.book.holds.setdefault("hive-0", {})[job.id] = hold
        return hold

    def plan(self) -> list[Run]:
        """Plan and commit."""
        runs = self.realm.plan(self.now)
        self.realm.intents_written(runs, self.now)
        return runs

    def report(
        self,
        name: str,
        zone: str = "a",
        term: int | None = None,
        flight: int = 1,
        smoke_s: float | None = None,
        carry_out: bool = True,
    ) -> list[Call]:
        """A worker's report of the frames that it has, and the commands it gets."""
        self.tallies[name] = self.tallies.get(name, 0) + 1
        frames = self.frames.setdefault(name, {})
        machine = self.realm.machines.get(name)
        rep = Report(
            name,
            f"{name}:9",
            "b1",
            machine.zone if machine else zone,
            False,
            flight,
            self.tallies[name],
            self.realm.term if term is None else term,
            list(frames.values()),
            smoke_s,
        )
        heard = self.realm.report(rep, False, self.now)
        calls = self.realm.answer(heard, rep, self.now) if heard is not None else []
        if carry_out:
            for call in calls:
                key = (call.frame, call.attempt)
                if call.call == "launch":
                    frames[key] = FrameReport(call.frame, call.attempt, "pulling")
                elif call.call == "clear":
                    frames.pop(key, None)
        return calls

    def stage(self, name: str, stage: str, cause: str | None = None, kept: bool = False) -> None:
        """All tasks on a machine enter a stage."""
        for frame in self.frames[name].values():
            frame.stage, frame.cause, frame.kept = stage, cause, kept

    def all_report(self) -> list[Call]:
        calls = []
        for name in list(self.realm.machines):
            calls += self.report(name)
        return calls


@pytest.fixture
def bench() -> Bench:
    return Bench()
