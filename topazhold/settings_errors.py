"""The error raised for platform and operator settings."""

from __future__ import annotations


class SettingsError(Exception):
    """Settings are invalid or can't be read; the message names the file and the field."""
