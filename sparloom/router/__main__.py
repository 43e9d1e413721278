"""The router's command line."""

from sparloom.launch.launcher import launch

launch("router")
