"""Start topazhold from a checkout; the libraries come from `target/deps`."""

import gc
import sys
from pathlib import Path

# Nothing that an import makes is garbage, so none is collected meanwhile.
gc.disable()

#: New objects after which garbage is collected among them. Nearly all are freed by their
#: reference counts, so the interpreter's default collects too often.
GC_YOUNG_THRESHOLD = 5000
#: Collections of one generation after which the next older one is collected as well.
GC_OLDER_THRESHOLDS = (10, 10)
TARGET = Path(__file__).resolve().parent / "target"
sys.path.insert(0, str(TARGET / "deps"))

# The libraries first: their compiled files lie next to them.
import tomllib  # noqa: E402, F401

import click  # noqa: E402, F401
import curio  # noqa: E402, F401
import h11  # noqa: E402, F401
import msgspec  # noqa: E402, F401
from google.protobuf import text_format  # noqa: E402, F401

# Our own sources are compiled by the build, under target/: a controller can't write next to
# them, and would compile them anew at every start.
sys.pycache_prefix = str(TARGET / "pycache")

import topazhold.control.controller  # noqa: E402, F401
from topazhold.cli import main  # noqa: E402

sys.pycache_prefix = None

# What has been imported stays: left out of collections, it does not lengthen their pauses.
gc.freeze()
gc.set_threshold(GC_YOUNG_THRESHOLD, *GC_OLDER_THRESHOLDS)
gc.enable()

if __name__ == "__main__":
    main(prog_name="topazhold")
