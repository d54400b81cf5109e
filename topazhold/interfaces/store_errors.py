"""How requests to the key-value store fail; all errors are kinds of `KeyValueStoreError`."""

from __future__ import annotations


class KeyValueStoreError(Exception):
    """What was asked of the store was not done, or may not have been done.

    Every request may end in the first three of its kinds.
    """


class StoreUnavailableError(KeyValueStoreError):
    """Not carried out: refused, over the limit, or out of reach.

    `malformed`: the store calls the request malformed or too large, or a lease in it has ended;
    repeated as it is, it is refused again.
    """

    def __init__(self, reason: str, malformed: bool = False) -> None:
        super().__init__(reason)
        self.malformed = malformed


class OutcomeUnknownError(KeyValueStoreError):
    """No answer: the change may have been, or may yet be, carried out."""


class UnreadableAnswerError(KeyValueStoreError):
    """The store answered, but not in the form of its protocol."""


class PreconditionFailedError(KeyValueStoreError):
    """A precondition failed, and nothing was changed; `keys` are those that had changed."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class WatchCompactedError(KeyValueStoreError):
    """The store's history does not go back that far; read the keys again."""
