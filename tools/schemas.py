"""Prints the page with the schemas of stored operations: `python -m tools.schemas`."""

from __future__ import annotations

from topazhold.operations.schemas import render_page

if __name__ == "__main__":
    print(render_page(), end="")
