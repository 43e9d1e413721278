"""The controller's command line."""

import sys

if len(sys.argv) < 2:
    from sparloom.early import leave_out, listen

    leave_out()
    listen(("control",))

from sparloom.command import main

main("controller")
