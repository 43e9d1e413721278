"""Sockets for the project's own records, and the clock that they go by."""

from .clock import monotonic
from .file_watch import FileWatch
from .sockets import Datagrams, DialTimeout, Frames, bind, dial, tune

__all__ = ["Datagrams", "DialTimeout", "FileWatch", "Frames", "bind", "dial", "monotonic", "tune"]
