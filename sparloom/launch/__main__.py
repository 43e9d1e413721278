"""Starts a program from the bytecode archive: ``python3 -S -m sparloom.launch router``.

Deployments start the programs this way. ``python -m sparloom.router`` runs the
same program from its source files.
"""

from __future__ import annotations

import sys

from sparloom.launch.bytecode_archive import install_archive
from sparloom.launch.launcher import LISTEN_ADDRESSES, launch


def main() -> None:
    """Runs the program named by the first argument, from the archive if it is usable."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in LISTEN_ADDRESSES:
        sys.exit(f"usage: python3 -m sparloom.launch {{{'|'.join(LISTEN_ADDRESSES)}}} [ARGUMENTS]")
    install_archive()
    sys.argv = sys.argv[1:]
    launch(name)


if __name__ == "__main__":
    main()
