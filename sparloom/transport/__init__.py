"""Sockets for the project's own records, and the clock that they go by."""

from .clock import steady
from .file_watch import Watch
from .sockets import Datagrams, DialPatience, Frames, bind, dial, tune

__all__ = ["Datagrams", "DialPatience", "Frames", "Watch", "bind", "dial", "steady", "tune"]
