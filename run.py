"""Start topazhold from a checkout; the libraries come from `target/deps`."""

import sys
from pathlib import Path

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

import topazhold.control.node  # noqa: E402, F401
from topazhold.cli import main  # noqa: E402

sys.pycache_prefix = None

if __name__ == "__main__":
    main(prog_name="topazhold")
