"""The checker of the random days must catch a broken variant of each main rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.test_random_days import play
from topazhold.control import users as users_module
from topazhold.core import placing, quota, records, recovery
from topazhold.core.jobs import Job
from topazhold.core.realm import Realm
from topazhold.io.http import Answer
from topazhold.wire import messages as wire

Patch = Callable[[pytest.MonkeyPatch], None]


def forget_intents(patch: pytest.MonkeyPatch) -> None:
    """A new queen that does not believe in her predecessor's intents."""
    patch.setattr(recovery, "_adopt", lambda *args: None)
    patch.setattr(Realm, "_stray", lambda *args: None)


def trust_silence(patch: pytest.MonkeyPatch) -> None:
    """Tasks of a silent machine are placed again without proof."""

    def watch(self: Realm, machine: Any, now: float) -> None:
        if self.silent_s(machine, now) > 2 * self.report_s:
            for run in list(machine.runs.values()):
                self._drop(run, now)

    patch.setattr(Realm, "_watch", watch)


def no_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota.Usage, "allows", lambda *args, **kwargs: True)


def any_place(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(placing, "allowed", lambda *args: True)
    patch.setattr(Realm, "_hold_fault", lambda *args: None)
    patch.setattr(Realm, "_array_zone", lambda *args: None)


def no_kills(patch: pytest.MonkeyPatch) -> None:
    """Cancelled jobs run on."""
    patch.setattr(Realm, "kills", lambda self, machine: [])
    patch.setattr(Realm, "_finish_off", lambda self, job, now: None)


def forget_over(patch: pytest.MonkeyPatch) -> None:
    """Jobs that are over are not found any more."""
    patch.setattr(records, "over_key", lambda job: f"lost/{job}/{id(object())}")


def early_done(patch: pytest.MonkeyPatch) -> None:
    """One task done passes for the whole job."""
    patch.setattr(Job, "complete", property(lambda self: self.done_count > 0))


def invent(patch: pytest.MonkeyPatch) -> None:
    async def poll(self: Any, job_id: str) -> Answer:
        return Answer(200, wire.job_answer(job_id, wire.PENDING))

    patch.setattr(users_module.Users, "_poll", poll)


def done_turns_aborted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(records, "over_stage", lambda data: wire.ABORTED)


VARIANTS: list[tuple[Patch, str, list[str]]] = [
    (forget_intents, "ran_twice", ["crash_queen", "hang", "machine_cut"]),
    (trust_silence, "ran_twice", ["hang", "machine_cut", "zones_cut"]),
    (no_limit, "quota", []),
    (any_place, "wrong_place", []),
    (no_kills, "ran_cancelled", []),
    (forget_over, "forgotten", []),
    (early_done, "not_done", []),
    (invent, "invented", []),
    (done_turns_aborted, "went_back", []),
]


@pytest.mark.parametrize(
    ("patch", "rule", "kinds"), VARIANTS, ids=[patch.__name__ for patch, _, _ in VARIANTS]
)
def test_checker_catches(
    patch: Patch, rule: str, kinds: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    for seed in range(101, 109):
        world = play(seed, kinds, monkeypatch, jobs=25, trouble_s=50.0, calm_s=40.0)
        if rule in world.broken:
            return
    pytest.fail(f"the checker missed a variant that breaks {rule}")


def test_variants_cover_the_rules() -> None:
    assert {rule for _, rule, _ in VARIANTS} == {
        "ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented",
        "not_done", "went_back",
    }  # fmt: skip
