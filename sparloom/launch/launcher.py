"""Loads a program with little delay and runs it: sockets listen first, then the modules are loaded."""

import gc
import sys

LISTENS = {"router": ("front", "readiness"), "controller": ("control",)}


def launch(name):
    """Runs a program with the arguments of the command line; with none it serves.

    The collector of garbage rests while the modules are loaded: nearly all that
    this makes stays for good. ``sparloom.cli`` turns it on again.
    """
    gc.disable()
    sys.argv[0] = name
    if len(sys.argv) < 2:
        from sparloom.launch.early_listen import hold_hangups, leave_out, listen, skip_mime_files

        hold_hangups()
        leave_out()
        skip_mime_files()
        listen(LISTENS[name])
    from sparloom.cli import main

    main(name)
