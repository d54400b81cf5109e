"""This controller's share of the key-value store's limits on requests and changes."""

from __future__ import annotations

import logging

from topazhold.io.rate_limit import TokenBucket
from topazhold.settings import KeyValueStoreLimits

log = logging.getLogger(__name__)


class StoreLimits:
    """Rate limits for requests and for puts and deletes, at a share of the store's limits.

    `priority` is the share of a limit that a request must leave to more urgent ones.
    """

    def __init__(self, limits: KeyValueStoreLimits) -> None:
        self._limits = limits
        # True once the store has shown that its limits may have fallen to the lasting ones.
        self._uses_lasting_limits = False
        self._share = 1.0
        self._requests = TokenBucket(limits.rps)
        self._writes = TokenBucket(limits.write_rps)

    def set_share(self, share: float) -> None:
        """Set the share of the store's limits."""
        self._share = share
        limits = self._limits
        rps = limits.lasting_rps if self._uses_lasting_limits else limits.rps
        write_rps = limits.lasting_write_rps if self._uses_lasting_limits else limits.write_rps
        self._requests.set_rate(rps * share)
        self._writes.set_rate(write_rps * share)

    def on_rate_limited(self) -> None:
        """Switch to the lasting limits after the store refused a request within the current ones.

        The store's limits fall permanently and without notice. If the refusal had another reason,
        the lower limits cost little.
        """
        if not self._uses_lasting_limits:
            self._uses_lasting_limits = True
            self.set_share(self._share)
            log.info("store refused a request for its rate: switching to the lower limits")

    def wait_s(self, now: float, priority: float, writes: int) -> float:
        """Return the seconds until a request with `writes` puts and deletes is allowed."""
        return max(
            self._requests.wait_s(now, 1, priority), self._writes.wait_s(now, writes, priority)
        )

    def take(self, now: float, priority: float, writes: int) -> str | None:
        """Count a request; return None, or the name of the limit that does not allow it."""
        if not self._requests.take(now, 1, priority):
            return "request limit"
        if writes and not self._writes.take(now, writes, priority):
            return "write limit"
        return None
