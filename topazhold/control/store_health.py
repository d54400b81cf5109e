"""What the outcomes of a controller's requests show of the key-value store."""

from __future__ import annotations

import time
from http import HTTPStatus

from topazhold.core.cancellation_knowledge import StoreRefusals
from topazhold.core.jobs import DISTANT_PAST

#: Failures that last shorter than this multiple of the request timeout count as transient.
TRANSIENT_FAILURE_TIMEOUTS = 0.75


class StoreHealth:
    """Tracks which requests the store has answered, refused or left without a response."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self.failing_since: float | None = None  # monotonic clock, seconds
        self.unanswered_requests = 0  # consecutive; a refusal counts as a response
        #: Wall-clock time at which the last request that the store served, not a watch, was sent.
        self.served_at = DISTANT_PAST
        #: Wall-clock times between which every request but watches was refused; None if the last
        #: one was not.
        self.refusals: StoreRefusals | None = None

    def is_available(self, now: float) -> bool:
        """Return whether the store answers this controller, ignoring transient failures."""
        transient_s = TRANSIENT_FAILURE_TIMEOUTS * self._timeout_s
        return self.failing_since is None or now - self.failing_since < transient_s

    def on_no_response(self, sent_at: float, is_watch: bool) -> None:
        """Record a request without a response, sent at a monotonic time."""
        self.unanswered_requests += 1
        self._fail(sent_at)
        if not is_watch:
            self.refusals = None

    def on_response(self, status: int, sent_at: float, sent_at_wall: float, is_watch: bool) -> None:
        """Record a response to a request, given when it was sent by both clocks.

        A watch tells less: during an outage it may stay open, and return no changes.
        """
        self.unanswered_requests = 0
        refused = status == HTTPStatus.SERVICE_UNAVAILABLE
        if refused:
            self._fail(sent_at)
        elif status != HTTPStatus.TOO_MANY_REQUESTS:
            self.failing_since = None
        if is_watch:
            return
        if refused:
            now = time.time()
            since = self.refusals.since if self.refusals is not None else now
            self.refusals = StoreRefusals(since, now)
        else:
            self.refusals = None
            self.served_at = max(self.served_at, sent_at_wall)

    def _fail(self, sent_at: float) -> None:
        if self.failing_since is None:
            self.failing_since = sent_at
