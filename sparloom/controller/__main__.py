"""Entry point of the controller's command line."""

from sparloom.launch.launcher import launch

launch("controller")
