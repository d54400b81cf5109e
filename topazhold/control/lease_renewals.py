"""Limits the renewal of workers' leases to what cancellations unknown here allow.

A 200 to a heartbeat keeps the worker's tasks running for another lease, whether or not anybody
can reach the worker afterwards. A cancellation that was confirmed elsewhere and is not known here
must end its tasks within `cancel_s` all the same, without the help of the cloud or of a peer.
"""

from __future__ import annotations

import logging
import time

from topazhold.core.cancellations import Cancellations
from topazhold.settings import Cluster

log = logging.getLogger(__name__)

#: Maximum drift between two monotonic clocks, as a share of the elapsed time.
MAX_CLOCK_DRIFT_SHARE = 0.002


class LeaseRenewals:
    """Decides whether this controller may renew workers' leases at present.

    `limit_s` is the age of its knowledge, in seconds, up to which it may. `min_limit_s` is the
    least limit. It takes effect only where `cancel_s` is hardly longer than a lease, so that no
    limit could keep both.
    """

    def __init__(self, cancellations: Cancellations, cluster: Cluster, min_limit_s: float) -> None:
        self._cancellations = cancellations
        workers = cluster.workers
        # The last lease that is renewed must end within `cancel_s` of the earliest cancellation
        # that may be unknown here.
        self.limit_s = max(
            min_limit_s,
            workers.cancel_s
            - workers.lease_s * (1 + MAX_CLOCK_DRIFT_SHARE)
            - cluster.max_clock_difference_s,
        )
        self._was_allowed: bool | None = None

    def are_allowed(self) -> bool:
        """Return whether a renewed lease can't keep a cancelled task for longer than `cancel_s`."""
        age_s = self.knowledge_age_s()
        allowed = self._cancellations.informed and age_s < self.limit_s
        if allowed is not self._was_allowed:
            self._log_change(allowed, age_s)
            self._was_allowed = allowed
        return allowed

    def knowledge_age_s(self) -> float:
        """Return for how long cancellations may have been confirmed that are not known here."""
        now = time.time()
        return now - self._cancellations.knowledge.known_until(now)

    def _log_change(self, allowed: bool, age_s: float) -> None:
        if allowed:
            log.info("renewing leases: all cancellations confirmed %.1f s ago are known", age_s)
        elif self._cancellations.informed:
            log.info(
                "not renewing leases, but for jobs that the store shows to be live:"
                " cancellations confirmed in the last %.1f s may be unknown",
                age_s,
            )
        else:
            log.info("not renewing leases: no record of cancellations has arrived since the start")
