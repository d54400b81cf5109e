"""The error that both kinds of settings share."""

from __future__ import annotations


class SettingsError(Exception):
    """Settings that can't be used; the text names file and field."""
