"""Errors of the key-value store; all are subclasses of `KeyValueStoreError`."""

from __future__ import annotations


class KeyValueStoreError(Exception):
    """A request to the store failed, or may have failed.

    Every request may raise StoreUnavailableError, OutcomeUnknownError or UnreadableAnswerError.
    """


class StoreUnavailableError(KeyValueStoreError):
    """The request was not carried out: refused, over the rate limit, or store unreachable.

    `malformed` is true if the store rejects the request as malformed or too large, or because a
    lease in it has expired. Retried unchanged, such a request is refused again.
    """

    def __init__(self, reason: str, malformed: bool = False) -> None:
        super().__init__(reason)
        self.malformed = malformed


class OutcomeUnknownError(KeyValueStoreError):
    """The store sent no response: the change may have been applied, or may still be."""


class UnreadableAnswerError(KeyValueStoreError):
    """The store's response does not follow its protocol."""


class PreconditionFailedError(KeyValueStoreError):
    """A precondition failed and nothing was changed; `keys` have other revisions than required."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class WatchCompactedError(KeyValueStoreError):
    """The store's history no longer reaches the watched revision; the keys must be reread."""
