"""A controller process is stopped at a point of an order, replaced, and continued."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import curio

from tests.fault_injection import OperationTrigger
from tests.loopback import LEASE_S, LoopbackSimulation, play

#: An order that the network holds is carried out so long after it was sent, and the stopped
#: process goes on so long after its successor was elected.
HELD_S = 8.0
REPLACED_S = 1.0
#: What a continued process may still do shows within this time.
WATCHED_S = 3.0


@dataclass(frozen=True)
class PauseOutcome:
    """What one scenario has shown."""

    operations: int  # that came to the cloud
    executed: int  # of which something came
    stale: int  # sent by who did not hold the duties any more
    stale_effect: int  # of these, with an effect that no open record allowed
    returned_twice: int  # machines with two decisions
    broken: list[str]  # rules, these included
    without_holder_s: float  # from the stop to the next election


def play_pause(
    folder: Path, point: str, kind: str, seed: int = 1, operator: str = "record_orders: true\n"
) -> PauseOutcome:
    """Stop the leader at a point of its first order, let another lead, let the first go on."""
    stopped_at: list[float] = []
    elected_at: list[float] = []

    async def act(simulation: LoopbackSimulation) -> None:
        def stop(source: str) -> None:
            simulation.pause(source)
            stopped_at.append(simulation.clock.now)

        # Of four machines some stay idle and are returned; two are too few for three users.
        trigger = OperationTrigger(simulation.network.hosts, point, kind, stop, HELD_S)
        await simulation.start(machines=4 if kind == "return" else 2)
        for number in range(3):
            await curio.spawn(simulation.users.follow_job, number, daemon=True)
        await simulation.wait_until(lambda: trigger.source is not None, f"a {kind}")
        former = trigger.source
        assert former is not None
        await simulation.wait_until(
            lambda: simulation.leader() not in (None, former), "a successor"
        )
        elected_at.append(simulation.elected[-1][0])
        await curio.sleep(REPLACED_S)
        simulation.resume(former)
        await curio.sleep(max(WATCHED_S, HELD_S if point == "before_answer" else 0.0, LEASE_S))

    simulation = play(act, folder, seed, operator)
    history = simulation.cloud.orders
    return PauseOutcome(
        operations=history.received,
        executed=len(history.executed),
        stale=history.received_stale,
        stale_effect=sum(done.stale and not done.recorded for done in history.executed),
        returned_twice=simulation.violations.count("returned_twice"),
        broken=simulation.violations,
        without_holder_s=elected_at[0] - stopped_at[0],
    )
