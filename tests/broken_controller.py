"""Starts a controller with a variant of the code that is broken on purpose.

python -m tests.broken_controller VARIANT --config FILE [--operator FILE]
"""

from __future__ import annotations

import sys

import pytest

from tests.late_copies import VARIANTS
from topazhold.cli import main

if __name__ == "__main__":
    VARIANTS[sys.argv.pop(1)](pytest.MonkeyPatch())
    main(prog_name="topazhold")
