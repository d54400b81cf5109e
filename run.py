"""Start topazhold from a checkout, with the libraries in `target/deps`."""

import gc
import sys
from pathlib import Path

# Imports create no garbage, so collections during startup would be wasted.
gc.disable()

#: Net number of new objects that triggers a collection of the youngest generation. Reference
#: counting frees nearly all objects, so the interpreter's default collects too often.
GC_YOUNG_THRESHOLD = 5000
#: Collections of a generation that trigger a collection of the next older one.
GC_OLDER_THRESHOLDS = (10, 10)
TARGET = Path(__file__).resolve().parent / "target"
sys.path.insert(0, str(TARGET / "deps"))

# The libraries are imported first, since their compiled files are next to them.
import tomllib  # noqa: E402, F401

import click  # noqa: E402, F401
import curio  # noqa: E402, F401
import h11  # noqa: E402, F401
import msgspec  # noqa: E402, F401
from google.protobuf import text_format  # noqa: E402, F401

# The build puts the compiled files of our own sources under target/: a controller can't write
# next to the sources, and would compile them again at every start.
sys.pycache_prefix = str(TARGET / "pycache")

import topazhold.control.controller  # noqa: E402, F401
from topazhold.cli import main  # noqa: E402

sys.pycache_prefix = None

# Imported objects are never freed; excluding them from collections shortens the pauses.
gc.freeze()
gc.set_threshold(GC_YOUNG_THRESHOLD, *GC_OLDER_THRESHOLDS)
gc.enable()

if __name__ == "__main__":
    main(prog_name="topazhold")
