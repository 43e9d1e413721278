"""Keeps long computations off the event loop, so that heartbeats go on meanwhile."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control_state import ConfigurationDict

# Work on a longer body, or on more routes, leaves the event loop.
LARGE_BYTES = 32 << 10
LARGE_ROUTES = 100

T = TypeVar("T")


def is_large(configuration: ConfigurationDict) -> bool:
    """Whether a configuration, or an edit of one, is so large that work on it leaves the event loop.

    >>> is_large({"routes": [{}] * 101}), is_large({})
    (True, False)
    """
    return len(configuration.get("routes", ())) > LARGE_ROUTES


async def run(is_long: bool, work: Callable[..., T], *args: object) -> T:
    """Runs a function, in a thread if it takes long."""
    if not is_long:
        return work(*args)
    return await asyncio.get_running_loop().run_in_executor(None, work, *args)
