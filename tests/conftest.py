"""Fixtures shared by several test files."""

from __future__ import annotations

import pytest

from tests.scheduler_harness import SchedulerHarness


@pytest.fixture
def harness() -> SchedulerHarness:
    """Return a scheduler harness with four ready machines, two in each zone."""
    return SchedulerHarness()
