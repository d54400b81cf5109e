"""Periods that the scheduler's decisions depend on."""

from __future__ import annotations

from dataclasses import dataclass

from topazhold.operator_settings import Operator
from topazhold.settings import Settings


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods taken from the settings, all in seconds."""

    heartbeat_interval_s: float  # between two heartbeats of a worker
    lease_s: float  # a worker that hears nothing for so long ends its tasks
    cancel_s: float  # a cancelled job must have left every machine by then
    list_lag_s: float  # the age that the cloud's list of machines may have
    summary_s: float  # between two summaries in the key-value store
    gang_wait_s: float  # the workers' own limit for a gang's start

    @classmethod
    def from_settings(cls, settings: Settings, operator: Operator) -> Timing:
        """The periods that the platform and the operators have set."""
        workers = settings.cluster.workers
        return cls(
            heartbeat_interval_s=workers.heartbeat_interval_s,
            lease_s=workers.lease_s,
            cancel_s=workers.cancel_s,
            list_lag_s=settings.cluster.cloud.list_lag_s,
            summary_s=operator.summary_s,
            gang_wait_s=workers.gang_wait_s,
        )
