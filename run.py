"""Start topazhold from a checkout; the libraries come from `target/deps`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from topazhold.cli import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="topazhold")
