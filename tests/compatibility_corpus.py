"""Collects samples of the values and messages that the production version writes.

`python -m tests.compatibility_corpus` simulates two days of the production version alone and
writes samples of each kind of value and message to `tests/data/production_corpus.json`. Run it
again whenever `production` in `deploy/service.toml` changes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import curio
import pytest

from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.simulation.deployment import Simulation
from topazhold.settings import LaterLimits

CORPUS_FILE = Path(__file__).resolve().parent / "data" / "production_corpus.json"
#: Samples kept of each kind: the longest ones, which use the most fields.
SAMPLES_PER_KIND = 4
#: Interval between samplings of the store and of the messages.
SAMPLING_INTERVAL_S = 0.5

Corpus = dict[str, dict[str, list[Any]]]


class CorpusCollector:
    """Keeps the longest values and messages of each kind."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], dict[str, Any]] = {}

    def add(self, group: str, kind: str, sample: Any) -> None:
        """Keep a sample if it is among the longest of its kind."""
        samples = self._kinds.setdefault((group, kind), {})
        samples[json.dumps(sample, sort_keys=True)] = sample
        if len(samples) > SAMPLES_PER_KIND:
            del samples[min(samples, key=lambda text: (len(text), text))]

    def corpus(self) -> Corpus:
        """Return the samples by group and kind."""
        grouped: Corpus = {}
        for (group, kind), samples in sorted(self._kinds.items()):
            grouped.setdefault(group, {})[kind] = [samples[text] for text in sorted(samples)]
        return grouped


def kind_of(key: str) -> str:
    """Return the kind of a stored key: its first part, or `sum/*` for the summary of all zones."""
    first = key.partition("/")[0]
    return "sum/*" if key == "sum/*" else first


async def collect(simulation: Simulation, collector: CorpusCollector) -> None:
    """Periodically add all stored values and sent messages to the collector; runs forever."""
    while True:
        await curio.sleep(SAMPLING_INTERVAL_S)
        for key, (data, _, _) in simulation.store.data.items():
            collector.add("stored", kind_of(key), [key, data])
        for tag, messages in simulation.peer_messages.items():
            for message in messages:
                collector.add("messages", tag, list(message))
            messages.clear()


def collect_day(
    seed: int,
    kinds: list[str],
    monkeypatch: pytest.MonkeyPatch,
    collector: CorpusCollector,
    production: bool,
) -> None:
    """Simulate a day of one version alone and collect what it stores and sends."""

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, seed)
        if production:
            simulation.install_production(LaterLimits())
        sampler = await curio.spawn(collect, simulation, collector, daemon=True)
        await simulation.run_day(30, 60.0, 60.0, kinds)
        await sampler.cancel()

    run_virtual(main, monkeypatch)


#: Seeds and faults of days that together write every kind of value; relayed heartbeats
#: appear only while a leader is cut off.
CORPUS_DAYS = [(71, ["crash_leader", "cancel_at_end"]), (72, ["zones_cut", "leader_off_zone"])]


def main() -> None:
    """Regenerate the corpus file."""
    collector = CorpusCollector()
    for seed, kinds in CORPUS_DAYS:
        with pytest.MonkeyPatch.context() as patch:
            collect_day(seed, kinds, patch, collector, production=True)
    CORPUS_FILE.parent.mkdir(exist_ok=True)
    CORPUS_FILE.write_text(json.dumps(collector.corpus(), indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
