"""Transport of records over TCP and UDP, HTTP client sessions, and the clocks."""

from .clock import monotonic, wall_clock_ms, wall_clock_us
from .sockets import Datagrams, DialTimeout, Frames, bind, dial, set_tcp_options

__all__ = [
    "Datagrams",
    "DialTimeout",
    "Frames",
    "bind",
    "dial",
    "monotonic",
    "set_tcp_options",
    "wall_clock_ms",
    "wall_clock_us",
]
