"""Starts a program: ``python3 -S -m sparloom.launch router`` runs it from the archive that the build made.

A deployment starts its programs this way; ``python -m sparloom.router`` runs
the same program from the sources.
"""

from __future__ import annotations

import sys

from sparloom.launch.bytecode_archive import install
from sparloom.launch.launcher import LISTEN_ADDRESSES, launch


def start() -> None:
    """Runs the program that the first argument names, from the archive where there is one."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in LISTEN_ADDRESSES:
        sys.exit(f"usage: python3 -m sparloom.launch {{{'|'.join(LISTEN_ADDRESSES)}}} [ARGUMENTS]")
    install()
    sys.argv = sys.argv[1:]
    launch(name)


if __name__ == "__main__":
    start()
