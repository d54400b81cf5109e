"""Fixtures that several files of tests share."""

from __future__ import annotations

import pytest

from tests.scheduler_harness import SchedulerHarness


@pytest.fixture
def harness() -> SchedulerHarness:
    """A scheduler with four ready machines, two in each zone."""
    return SchedulerHarness()
