"""The controller's command line."""
from sparloom.command import main

main("controller")
