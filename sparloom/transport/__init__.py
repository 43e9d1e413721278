"""Connections and datagrams for the project's own records, HTTP client sessions, and the monotonic clock."""

from .clock import monotonic, wall_clock_ms, wall_clock_us
from .sockets import Datagrams, DialTimeout, Frames, bind, dial, tune

__all__ = [
    "Datagrams",
    "DialTimeout",
    "Frames",
    "bind",
    "dial",
    "monotonic",
    "tune",
    "wall_clock_ms",
    "wall_clock_us",
]
