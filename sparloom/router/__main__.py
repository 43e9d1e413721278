"""The router's command line."""
from sparloom.command import main

main("router")
