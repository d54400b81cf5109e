"""Pauses the leader process in the middle of an operation and resumes it after a failover."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import curio

from tests.fault_injection import OperationTrigger
from tests.loopback import LEASE_S, LoopbackSimulation, run_loopback_scenario

#: Time from sending a request that the network holds back to its execution by the cloud.
ORDER_DELAY_S = 8.0
#: Time from the election of the successor to the resumption of the paused process.
RESUME_DELAY_S = 1.0
#: Time after the resumption within which operations of the resumed process are observed.
OBSERVATION_S = 3.0


@dataclass(frozen=True)
class PauseOutcome:
    """The counts and measurements of one scenario."""

    received: int  # operations that arrived at the cloud
    executed: int  # operations that had an effect
    stale: int  # operations received from a controller that was not the leader
    stale_unrecorded: int  # stale operations that had an effect without a record
    returned_twice: int  # machines with two records that return them
    violations: list[str]  # names of the violated rules, those above included
    failover_s: float  # time from the pause to the next election


def run_pause_scenario(
    folder: Path, point: str, kind: str, seed: int = 1, operator: str = "record_orders: true\n"
) -> PauseOutcome:
    """Pause the leader at `point` of its first operation of `kind`; resume it after failover."""
    stopped_at: list[float] = []
    elected_at: list[float] = []

    async def act(simulation: LoopbackSimulation) -> None:
        def pause_leader(source: str) -> None:
            simulation.pause(source)
            stopped_at.append(simulation.clock.now)

        # With four machines some stay idle and are returned; two are too few for three users.
        trigger = OperationTrigger(
            simulation.network.hosts, point, kind, pause_leader, ORDER_DELAY_S
        )
        await simulation.start(machines=4 if kind == "return" else 2)
        for number in range(3):
            await curio.spawn(simulation.users.follow_job, number, daemon=True)
        await simulation.wait_until(lambda: trigger.source is not None, f"a {kind}")
        old_leader = trigger.source
        assert old_leader is not None
        await simulation.wait_until(
            lambda: simulation.leader() not in (None, old_leader), "a successor"
        )
        elected_at.append(simulation.elections[-1][0])
        await curio.sleep(RESUME_DELAY_S)
        simulation.resume(old_leader)
        await curio.sleep(
            max(OBSERVATION_S, ORDER_DELAY_S if point == "before_answer" else 0.0, LEASE_S)
        )

    simulation = run_loopback_scenario(act, folder, seed, operator)
    history = simulation.cloud.operations
    return PauseOutcome(
        received=history.received,
        executed=len(history.executed),
        stale=history.received_stale,
        stale_unrecorded=sum(
            operation.stale and not operation.recorded for operation in history.executed
        ),
        returned_twice=simulation.violations.count("returned_twice"),
        violations=simulation.violations,
        failover_s=elected_at[0] - stopped_at[0],
    )
