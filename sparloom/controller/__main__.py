"""The controller's command line."""

from sparloom.start import launch

launch("controller")
