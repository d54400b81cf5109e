"""A controller process is stopped at a point of an order, replaced, and continued."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import curio

from tests.fault_injection import OperationTrigger
from tests.loopback import LEASE_S, LoopbackSimulation, run_loopback_scenario

#: An order that the network holds is carried out so long after it was sent, and the stopped
#: process goes on so long after its successor was elected.
ORDER_DELAY_S = 8.0
RESUME_DELAY_S = 1.0
#: What a continued process may still do shows within this time.
OBSERVATION_S = 3.0


@dataclass(frozen=True)
class PauseOutcome:
    """What one scenario has shown."""

    received: int  # that came to the cloud
    executed: int  # of which something came
    stale: int  # sent by who did not hold the duties any more
    stale_unrecorded: int  # of these, with an effect that no open record allowed
    returned_twice: int  # machines with two decisions
    violations: list[str]  # rules, these included
    failover_s: float  # from the stop to the next election


def run_pause_scenario(
    folder: Path, point: str, kind: str, seed: int = 1, operator: str = "record_orders: true\n"
) -> PauseOutcome:
    """Stop the leader at a point of its first order, let another lead, let the first go on."""
    stopped_at: list[float] = []
    elected_at: list[float] = []

    async def act(simulation: LoopbackSimulation) -> None:
        def pause_leader(source: str) -> None:
            simulation.pause(source)
            stopped_at.append(simulation.clock.now)

        # Of four machines some stay idle and are returned; two are too few for three users.
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
