"""This controller's share of the key-value store's limits on requests and changes."""

from __future__ import annotations

import logging

from topazhold.io.rate_limit import TokenBucket
from topazhold.settings import State as StateLimits

log = logging.getLogger(__name__)


class StoreLimits:
    """Counts requests, and puts and deletes, against a share of what the store allows.

    `rank` is the share of a limit that a request must leave to more urgent ones.
    """

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        # True once the store has shown that its limits may have fallen to the lasting ones.
        self._uses_lasting_limits = False
        self._share = 1.0
        self._requests = TokenBucket(limits.rps)
        self._writes = TokenBucket(limits.write_rps)

    def set_share(self, share: float) -> None:
        """Keep to this share of the limits from now on."""
        self._share = share
        limits = self._limits
        rps = limits.lasting_rps if self._uses_lasting_limits else limits.rps
        write_rps = limits.lasting_write_rps if self._uses_lasting_limits else limits.write_rps
        self._requests.set_rate(rps * share)
        self._writes.set_rate(write_rps * share)

    def on_rate_limited(self) -> None:
        """The store refused a request that the present limits allow: they may have fallen.

        They fall without notice and for good, so from now on this controller keeps to the
        lower ones. Where the refusal had another reason, that costs little.
        """
        if not self._uses_lasting_limits:
            self._uses_lasting_limits = True
            self.set_share(self._share)
            log.info("store refuses for its rate: keeping to the lower limits")

    def wait_s(self, now: float, priority: float, writes: int) -> float:
        """Seconds until a request with so many puts and deletes is allowed."""
        return max(
            self._requests.wait_s(now, 1, priority), self._writes.wait_s(now, writes, priority)
        )

    def take(self, now: float, priority: float, writes: int) -> str | None:
        """Count a request; None, or the limit that does not allow it."""
        if not self._requests.take(now, 1, priority):
            return "request limit"
        if writes and not self._writes.take(now, writes, priority):
            return "write limit"
        return None
