"""The router's command line."""

from sparloom.start import launch

launch("router")
