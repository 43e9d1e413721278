"""The router's command line."""

import sys

if len(sys.argv) < 2:
    from sparloom.early import hold_hangups, leave_out, listen

    hold_hangups()
    leave_out()
    listen(("front", "readiness"))

from sparloom.command import main

main("router")
