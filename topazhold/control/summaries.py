"""Summaries of the fleet that the leader sends to the other controllers."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from typing import Any

import curio

from topazhold.control.cluster_view import ClusterView
from topazhold.control.peer_group import Broadcast
from topazhold.control.peer_messages import PLACED, SUMMARY, Placed, Summary
from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import work_then_wait
from topazhold.core import records
from topazhold.core.jobs import DISTANT_PAST, JobState
from topazhold.core.machines import Machine
from topazhold.core.preemption import queue_key
from topazhold.core.task_attempts import AttemptState
from topazhold.core.zone_summary import pack_names, sample_names, truncate_summary
from topazhold.interfaces.store import DECISION_PRIORITY
from topazhold.interfaces.store_errors import KeyValueStoreError, PreconditionFailedError
from topazhold.interfaces.term import MAX_TXN_VALUE_BYTES
from topazhold.operations.refused_operations import RefusedOperations
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size

log = logging.getLogger(__name__)

#: Jobs whose number of running tasks is in the summary; it is for display only.
MAX_RUNNING_COUNTS = 60
#: Machines in one placement message, and the number of rounds within which every machine is sent
#: at least once.
MAX_PLACEMENTS_PER_MESSAGE = 500
RESEND_ROUNDS = 16
#: Bytes of a stored value outside its lists, and the maximum shares of the rest for running
#: counts, refused operations and machine names.
VALUE_OVERHEAD_BYTES = 192
RUNNING_SHARE = 0.3
REFUSED_SHARE = 0.2
NAMES_SHARE = 0.5
#: Interval between summaries in heartbeat intervals, and its minimum in seconds.
PUBLISH_INTERVAL_HEARTBEATS = 0.5
MIN_PUBLISH_INTERVAL_S = 1.0


def _placement_hint(machine: Machine) -> list[Any]:
    jobs = sorted({job for job, _ in machine.attempts})
    return [machine.name, machine.endpoint, jobs]


class SummaryPublisher:
    """Sends summaries to peers periodically, and to the store at the configured interval."""

    def __init__(
        self,
        context: TermContext,
        summary_s: float,
        broadcast: Broadcast,
        refused: RefusedOperations | None = None,
    ) -> None:
        self._context = context
        self._refused = refused if refused is not None else RefusedOperations()
        self._summary_s = summary_s
        self._broadcast = broadcast
        self._sent: dict[str, tuple[int, str | None]] = {}  # machine -> changes, endpoint last sent
        self._rounds = 0
        self._written_at = DISTANT_PAST  # monotonic clock, seconds

    def placements(self) -> list[list[Any]]:
        """Return for every machine its name, endpoint, and the jobs whose tasks may run there."""
        return [_placement_hint(machine) for machine in self._context.scheduler.machines.values()]

    def resend_placements(self) -> None:
        """Send every machine again in the next round."""
        self._sent.clear()

    def placement_changes(self) -> list[list[Any]]:
        """Return the machines that have changed, and some others in turn.

        The others are for peers that missed an earlier message.
        """
        machines = self._context.scheduler.machines
        self._rounds += 1
        items: list[list[Any]] = []
        for number, machine in enumerate(machines.values()):
            state = (machine.offer_changes, machine.endpoint)
            changed = self._sent.get(machine.name) != state
            if changed or (number + self._rounds) % RESEND_ROUNDS == 0:
                self._sent[machine.name] = state
                items.append(_placement_hint(machine))
        for name in [name for name in self._sent if name not in machines]:
            del self._sent[name]
            items.append([name, None, None])
        return items

    def cluster_view(self, now: float) -> ClusterView:
        """Return a current view of the fleet for this controller's own searches."""
        scheduler = self._context.scheduler
        cluster_view = ClusterView()
        cluster_view.observed_at = now
        cluster_view.term = self._context.term
        cluster_view.directory = scheduler.directory()
        largest = scheduler.largest_gang(now)
        cluster_view.caches = {
            zone: scheduler.offers(zone, now, largest) for zone in self._context.zones
        }
        return cluster_view

    def summary(self, now: float) -> dict[str, Any]:
        """Return the summary for the other controllers: a value per zone and one for jobs."""
        return dict(self._summary_values(now))

    def _summary_values(self, now: float) -> Iterator[tuple[str, dict[str, Any]]]:
        scheduler = self._context.scheduler
        largest = scheduler.largest_gang(now)
        directory = scheduler.directory()
        for zone in self._context.zones:
            cache = [offer.pack() for offer in scheduler.offers(zone, now, largest)]
            names = [name for name, machine_zone in directory if machine_zone == zone]
            yield zone, {"cache": cache, "all": pack_names(names)}
        yield "", self._jobs_value(now)

    async def _collect(self, now: float) -> dict[str, Any]:
        """Build a summary value by value, yielding to other tasks in between.

        Building it in one go would delay the lease renewal and the responses to workers.
        """
        values: dict[str, Any] = {}
        for key, value in self._summary_values(now):
            values[key] = value
            await curio.sleep(0)
        return values

    def _jobs_value(self, now: float) -> dict[str, Any]:
        """Return the summary's value for jobs: waiting gangs and numbers of running tasks."""
        scheduler = self._context.scheduler
        waiting = [
            [job.id, job.node, *queue_key(job), scheduler.needs_reservation(job)]
            for job in scheduler.waiting_gangs(now)
        ]
        running: dict[str, int] = {}
        for job in scheduler.jobs.values():
            if job.state is JobState.LIVE and len(running) < MAX_RUNNING_COUNTS:
                count = sum(
                    attempt.state is AttemptState.RUNNING for attempt in job.attempts.values()
                )
                if count:
                    running[job.id] = count
        return {
            "crown": self._context.term,
            "at": time.time(),
            "waiting": waiting,
            "running": running,
        }

    def _store_operations(self, values: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the puts of a summary, truncated to the store's limits.

        A truncated list of waiting gangs is marked as such, so that readers do not take an
        omitted gang for one that no longer waits.
        """
        # All values together must fit the bytes of one transaction.
        value_bytes = min(
            self._context.max_value_bytes, MAX_TXN_VALUE_BYTES // (len(self._context.zones) + 1)
        )
        limit = value_bytes - VALUE_OVERHEAD_BYTES
        jobs = values[""]
        running = dict(
            truncate_summary(jobs["running"].items(), int(limit * RUNNING_SHARE), json_size)
        )
        refused = self._packed_refused(int(limit * REFUSED_SHARE))
        available = limit - json_size(running) - json_size(refused)
        waiting = truncate_summary(jobs["waiting"], available, json_size)
        is_truncated = len(waiting) < len(jobs["waiting"])
        jobs = {**jobs, "running": running, "waiting": waiting, "cut": is_truncated, **refused}
        operations = [wire.put(records.SUMMARY_KEY, jobs)]
        for zone in self._context.zones:
            names = sample_names(values[zone]["all"], int(limit * NAMES_SHARE), self._rounds)
            available = limit - json_size(names)
            cache = truncate_summary(values[zone]["cache"], available, json_size)
            operations.append(
                wire.put(records.SUMMARY_PREFIX + zone, {"cache": cache, "all": names})
            )
        return operations

    def _packed_refused(self, limit: int) -> dict[str, list[list[str]]]:
        """Return the term's refused operations, if any, for the command `duties`."""
        packed = [operation.pack() for operation in self._refused.recent]
        return {"refused": truncate_summary(packed, limit, json_size)} if packed else {}

    async def _write(self, operations: list[dict[str, Any]]) -> None:
        """Write a summary in as many transactions as needed."""
        context = self._context
        for start in range(0, len(operations), context.max_txn_ops):
            part = operations[start : start + context.max_txn_ops]
            try:
                await context.store.compare_and_swap(
                    context.preconditions(), part, DECISION_PRIORITY
                )
            except PreconditionFailedError as exc:
                await context.refresh_after_conflict(exc.keys)
                return
            except KeyValueStoreError as exc:
                log.debug("summary not written: %s", exc)
                return

    async def loop(self) -> None:
        """Publish summaries to peers periodically, and to the store at the configured interval."""
        pause_s = max(
            MIN_PUBLISH_INTERVAL_S, PUBLISH_INTERVAL_HEARTBEATS * self._context.heartbeat_interval_s
        )
        await work_then_wait(pause_s, self._publish)

    async def _publish(self) -> None:
        now = await curio.clock()
        values = await self._collect(now)
        await self._broadcast(Summary(SUMMARY, self._context.term, values))
        await curio.sleep(0)
        items = self.placement_changes()
        for start in range(0, len(items), MAX_PLACEMENTS_PER_MESSAGE):
            part = items[start : start + MAX_PLACEMENTS_PER_MESSAGE]
            await self._broadcast(Placed(PLACED, self._context.term, part))
            await curio.sleep(0)
        if now - self._written_at >= self._summary_s:
            self._written_at = now
            await self._write(self._store_operations(values))
