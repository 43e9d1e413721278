"""Starts a program quickly: it binds the listening sockets first and then imports the modules."""

from __future__ import annotations

import gc
import sys

LISTEN_ADDRESSES = {"router": ("front", "readiness"), "controller": ("control",)}


def launch(name: str) -> None:
    """Runs a program with the command line arguments; without arguments it serves. Does not return.

    The garbage collector is disabled during the imports, because nearly all
    objects that they allocate are permanent. ``sparloom.cli`` enables it again.
    """
    gc.disable()
    sys.argv[0] = name
    if len(sys.argv) < 2:
        from sparloom.launch.early_listen import block_unused_modules, defer_hangups, listen_early, skip_mime_files

        defer_hangups()
        block_unused_modules()
        skip_mime_files()
        listen_early(LISTEN_ADDRESSES[name])
    from sparloom.cli import main

    main(name)
