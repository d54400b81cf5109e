"""Time periods that the scheduler's decisions depend on."""

from __future__ import annotations

from dataclasses import dataclass

from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods from the settings, in seconds."""

    heartbeat_interval_s: float  # between two heartbeats of a worker
    lease_s: float  # a worker without a response for this long ends its tasks
    cancel_s: float  # within which a cancelled job must leave every machine
    list_lag_s: float  # maximum age of the cloud's machine list
    summary_s: float  # between two summaries in the key-value store
    gang_wait_s: float  # the workers' timeout for a gang to start

    @classmethod
    def from_settings(cls, settings: Settings, operator: OperatorSettings) -> Timing:
        """Return the periods from the platform's and the operators' settings."""
        workers = settings.cluster.workers
        return cls(
            heartbeat_interval_s=workers.heartbeat_interval_s,
            lease_s=workers.lease_s,
            cancel_s=workers.cancel_s,
            list_lag_s=settings.cluster.cloud.list_lag_s,
            summary_s=operator.summary_s,
            gang_wait_s=workers.gang_wait_s,
        )
