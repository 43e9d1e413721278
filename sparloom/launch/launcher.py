"""Loads a program with little delay and runs it: sockets listen first, then the modules are loaded."""

from __future__ import annotations

import gc
import sys

LISTEN_ADDRESSES = {"router": ("front", "readiness"), "controller": ("control",)}


def launch(name: str) -> None:
    """Runs a program with the arguments of the command line; with none it serves. It does not return.

    The garbage collector is off while the modules are loaded, since nearly all
    that this allocates stays for good. ``sparloom.cli`` turns it on again.
    """
    gc.disable()
    sys.argv[0] = name
    if len(sys.argv) < 2:
        from sparloom.launch.early_listen import block_unused_modules, defer_hangups, listen, skip_mime_files

        defer_hangups()
        block_unused_modules()
        skip_mime_files()
        listen(LISTEN_ADDRESSES[name])
    from sparloom.cli import main

    main(name)
