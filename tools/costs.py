"""Microbenchmarks of the parts of a leader's work.

    python -m tools.costs --machines 168 --tasks 5 --gangs 15 --arrays 30 [--profile plan]

Runs the HTTP, heartbeat, planning, search and summary code on a simulated fleet in memory and
prints the CPU time per call of each benchmark in milliseconds. `--profile NAME` runs one
benchmark under the standard library's profiler and prints the most expensive functions. The
times depend on the machine; use them to compare benchmarks and versions with each other.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from random import Random
from typing import Any

import cbor2
import msgspec

from tests.fakes.controllers import make_settings
from tests.job_specs import MACHINE_TYPE, make_spec
from topazhold.control.election import ElectionResult
from topazhold.control.summaries import SummaryPublisher
from topazhold.control.term_context import TermContext
from topazhold.core.candidate_slots import SearchContext, SearchRules
from topazhold.core.group_search import find_group
from topazhold.core.jobs import Job
from topazhold.core.preemption import priority, queue_key
from topazhold.core.reservations import Reservation, ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt
from topazhold.io.http import Response
from topazhold.io.peer_transport import encode_frame
from topazhold.io.server import Connection
from topazhold.operator_settings import OperatorSettings
from topazhold.wire.codec import decode
from topazhold.wire.workers import Commands, Heartbeat, TaskStatus

#: The leader's term.
TERM = 5
#: Numbers of tasks of the gangs, in turn, and of each array.
GANG_SIZES = (1, 2, 4, 8)
ARRAY_SIZE = 18
#: Size of the gang in the search benchmark, and the number of tries in one call.
SEARCHED_GANG_SIZE = 4
SEARCH_TRIES = 4
#: A cost is the smallest mean of `RUNS` runs, each of about `RUN_S` seconds and at least
#: `MIN_CALLS` calls.
RUNS = 5
RUN_S = 0.05
MIN_CALLS = 3
#: Lower bound of a call's measured time, in seconds, against a division by zero.
MIN_CALL_S = 1e-6
#: Number of functions that a profile lists.
PROFILED_FUNCTIONS = 25


class Fleet:
    """A leader's scheduler with machines that run tasks, and with waiting jobs."""

    def __init__(self, machines: int, tasks: int, gangs: int, arrays: int) -> None:
        self.now = 1000.0
        self.rng = Random(1)
        self.settings = make_settings("node-0", "a", [])
        for team in self.settings.cluster.teams:
            team.gpus = team.gpus_max = 1e6
        self.reservation_table = ReservationTable("node-0")
        self.operator = OperatorSettings()
        self.scheduler = Scheduler(
            self.settings, self.operator, TERM, self.reservation_table, self.rng, self.now
        )
        self.scheduler.machine_types = {"b1": MACHINE_TYPE}
        self.heartbeats: list[Heartbeat] = []
        self.job_number = 0
        for number in range(machines):
            self._add_machine(f"host-{number:06d}", "ab"[number % 2])
        self._start_tasks(tasks)
        for number in range(gangs):
            job = self._add_job(shape="gang", tasks=GANG_SIZES[number % len(GANG_SIZES)], gpus=4.0)
            names = self.rng.sample(list(self.scheduler.machines), job.spec.tasks)
            reservation = Reservation(
                job.id, dict.fromkeys(names, 1), job.need, 0.0, 1, 1e9, True, queue_key(job)
            )
            self.reservation_table.reservations.setdefault("node-0", {})[job.id] = reservation
        for _ in range(arrays):
            self._add_job(shape="batch", tasks=ARRAY_SIZE, gpus=1.0)
        for heartbeat in self.heartbeats:
            self.receive_heartbeat(heartbeat)

    def _add_job(self, **changes: Any) -> Job:
        """Add a job with the default fields of the tests, except for `changes`."""
        self.job_number += 1
        job = Job(make_spec(self.job_number, **changes), self.now, 1e9 + self.now, "node-0")
        self.scheduler.add_job(job)
        return job

    def _add_machine(self, name: str, zone: str) -> None:
        """Add a machine that is up and idle."""
        heartbeat = Heartbeat(name, f"{name}:9", "b1", zone, False, 1, 1, TERM, [])
        self.heartbeats.append(heartbeat)
        self.receive_heartbeat(heartbeat)

    def _start_tasks(self, tasks: int) -> None:
        """Start `tasks` small tasks on every machine."""
        for heartbeat in self.heartbeats:
            job = self._add_job(shape="batch", tasks=max(1, tasks), gpus=0.8, cpus=1.0)
            for index in range(tasks):
                attempt = TaskAttempt(job, index, self.job_number, heartbeat.machine, self.now)
                attempt.mark_written(self.now)
                attempt.mark_launch_sent(1, self.now)
                self.scheduler.cluster.attach(attempt)
                heartbeat.tasks.append(
                    TaskStatus(attempt.task_name, attempt.attempt_number, "running")
                )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> list[Any]:
        """Process the next heartbeat of a machine; return the commands of its response."""
        heartbeat.sequence += 1
        machine = self.scheduler.on_heartbeat(heartbeat, False, self.now)
        assert machine is not None
        self.scheduler.could_place_on(machine, self.now)
        return self.scheduler.response_commands(machine, heartbeat, self.now)


class EndlessSocket:
    """A socket that receives the same request repeatedly and discards sent data."""

    def __init__(self, request: bytes) -> None:
        self._request = request

    async def recv(self, size: int) -> bytes:
        """Return the whole request."""
        return self._request

    async def sendall(self, data: bytes) -> None:
        """Discard the data."""


def run_without_waiting(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError("the coroutine waits")


def http_benchmark(body: bytes) -> Callable[[], None]:
    """Return a benchmark that receives a heartbeat and sends a response without commands."""
    head = b"POST /v1/report HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Length: %d\r\n\r\n"
    connection = Connection(EndlessSocket(head % len(body) + body), None, 0.0)
    answer = Response(HTTPStatus.OK, Commands(TERM, []))

    def exchange() -> None:
        """Receive one request and send its response."""
        run_without_waiting(connection.receive())
        run_without_waiting(connection.send(answer))

    return exchange


async def discard_message(message: tuple[Any, ...]) -> None:
    """Replace the broadcast to other controllers."""


def summary_benchmark(fleet: Fleet) -> Callable[[], None]:
    """Return a benchmark that creates and encodes a summary, one second after the last one."""
    elected = ElectionResult(TERM, 1, 0.0)
    context = TermContext(fleet.settings, None, fleet.scheduler, elected, lambda now: True)  # type: ignore[arg-type]
    summaries = SummaryPublisher(context, fleet.operator.summary_s, discard_message)

    def summary() -> None:
        """Create and encode one summary."""
        fleet.now += 1.0
        encode_frame(("summary", TERM, summaries.summary(fleet.now)))

    return summary


def search_benchmark(fleet: Fleet) -> Callable[[], None]:
    """Return a benchmark that searches machines for a waiting gang."""
    scheduler = fleet.scheduler
    job = next(
        job for job in scheduler.jobs.values() if job.gang and job.spec.tasks == SEARCHED_GANG_SIZE
    )
    caches = {zone: scheduler.offers(zone, fleet.now, job) for zone in "ab"}
    rules = SearchRules(2.0, 16, 20, 1.0, 1.0, max_machine_tasks=120)
    directory = scheduler.directory()

    def search_once() -> None:
        """Run one search."""
        context = SearchContext(job.spec, priority(job), {}, rules)
        find_group(fleet.rng, directory, caches, context, SEARCH_TRIES)

    return search_once


def make_benchmarks(fleet: Fleet) -> dict[str, Callable[[], Any]]:
    """Return the benchmarks of a leader's work, by the name that is printed."""
    heartbeat = fleet.heartbeats[0]
    body = cbor2.dumps(msgspec.to_builtins(heartbeat))
    return {
        "http": http_benchmark(body),
        "decode": lambda: decode(body, Heartbeat),
        "report": lambda: fleet.receive_heartbeat(heartbeat),
        "tick": lambda: fleet.scheduler.tick(fleet.now),
        "scale_out": lambda: fleet.scheduler.scale_out(fleet.now),
        "summary": summary_benchmark(fleet),
        "search": search_benchmark(fleet),
        "plan": lambda: fleet.scheduler.plan(fleet.now),
    }


def cost_per_call_ms(piece: Callable[[], Any]) -> float:
    """Return the CPU time per call in milliseconds: the smallest mean of `RUNS` runs."""
    piece()
    started_at = time.process_time()
    piece()
    count = max(MIN_CALLS, int(RUN_S / max(time.process_time() - started_at, MIN_CALL_S)))
    best = float("inf")
    for _ in range(RUNS):
        started_at = time.process_time()
        for _ in range(count):
            piece()
        best = min(best, (time.process_time() - started_at) / count)
    return 1000 * best


def main() -> None:
    """Print the cost of each benchmark, or the profile of one."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--machines", type=int, default=168)
    parser.add_argument("--tasks", type=int, default=5, help="tasks running on each machine")
    parser.add_argument(
        "--gangs", type=int, default=15, help="waiting gangs, each with a reservation"
    )
    parser.add_argument("--arrays", type=int, default=30, help="waiting arrays")
    parser.add_argument("--profile", metavar="NAME", help="benchmark to profile")
    parser.add_argument("--rounds", type=int, default=200, help="calls to profile")
    args = parser.parse_args()
    fleet = Fleet(args.machines, args.tasks, args.gangs, args.arrays)
    benchmarks = make_benchmarks(fleet)
    if args.profile is None:
        for name, piece in benchmarks.items():
            print(f"{name:10} {cost_per_call_ms(piece):8.4f} ms")
        return
    profiler = cProfile.Profile()
    for _ in range(args.rounds):
        profiler.runcall(benchmarks[args.profile])
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)


if __name__ == "__main__":
    main()
