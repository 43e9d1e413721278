"""Starts a program: ``python3 -S -m sparloom.start router`` runs it from the archive that the build made.

A deployment starts its programs this way; ``python -m sparloom.router`` runs
the same program from the sources.
"""

import gc
import sys

LISTENS = {"router": ("front", "readiness"), "controller": ("control",)}


def launch(name):
    """Runs a program with the arguments of the command line; with none it serves.

    The collector of garbage rests while the modules are loaded: nearly all that
    this makes stays for good. ``sparloom.command`` turns it on again.
    """
    gc.disable()
    sys.argv[0] = name
    if len(sys.argv) < 2:
        from sparloom.early import hold_hangups, leave_out, listen, skip_mime_files

        hold_hangups()
        leave_out()
        skip_mime_files()
        listen(LISTENS[name])
    from sparloom.command import main

    main(name)


def start():
    """Runs the program that the first argument names, from the archive where there is one."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in LISTENS:
        sys.exit(f"usage: python3 -m sparloom.start {{{'|'.join(LISTENS)}}} [ARGUMENTS]")
    from sparloom.archive import install

    install()
    sys.argv = sys.argv[1:]
    launch(name)


if __name__ == "__main__":
    start()
