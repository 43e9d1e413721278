"""The controller's command line."""

import sys

if len(sys.argv) < 2:
    from sparloom.early import hold_hangups, leave_out, listen

    hold_hangups()
    leave_out()
    listen(("control",))

from sparloom.command import main

main("controller")
