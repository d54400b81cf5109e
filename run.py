"""Start topazhold from a checkout; the libraries come from `target/deps`."""

import gc
import sys
from pathlib import Path

# Nothing that an import makes is garbage; looking for some took a tenth of a start.
gc.disable()

#: So many new objects are made before garbage is looked for among them. Nearly all go by
#: their reference counts; at the interpreter's 700 a leader looked twice a second.
YOUNG_OBJECTS = 5000
TARGET = Path(__file__).resolve().parent / "target"
sys.path.insert(0, str(TARGET / "deps"))

# The libraries first: they, and what they need, are compiled where they stand.
import tomllib  # noqa: E402, F401

import click  # noqa: E402, F401
import curio  # noqa: E402, F401
import h11  # noqa: E402, F401
import msgspec  # noqa: E402, F401
from google.protobuf import text_format  # noqa: E402, F401

# Our own sources are compiled by the build, under target/. A controller can't write
# there: it would compile them anew at every start, which takes longer than all else.
sys.pycache_prefix = str(TARGET / "pycache")

import topazhold.control.controller  # noqa: E402, F401
from topazhold.cli import main  # noqa: E402

sys.pycache_prefix = None

# What has been imported stays, and need not be looked at again. A look at all objects was a
# stall of 0.6 to 0.9 s on 6.5% of a core; without these it is one of 0.03 to 0.2 s.
gc.freeze()
gc.set_threshold(YOUNG_OBJECTS, 10, 10)
gc.enable()

if __name__ == "__main__":
    main(prog_name="topazhold")
