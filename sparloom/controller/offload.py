"""Runs slow functions in a thread, so that they don't delay the heartbeats of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control_state import ConfigurationDict

# A request body with more bytes is processed in a thread.
LARGE_BYTES = 32 << 10
# A configuration with more routes is processed in a thread.
LARGE_ROUTES = 100

T = TypeVar("T")


def is_large(configuration: ConfigurationDict) -> bool:
    """Whether a configuration, or an edit of one, is large enough to be processed in a thread.

    >>> is_large({"routes": [{}] * 101}), is_large({})
    (True, False)
    """
    return len(configuration.get("routes", ())) > LARGE_ROUTES


async def run_offloaded(is_slow: bool, function: Callable[..., T], *args: object) -> T:
    """Runs a function, in a thread if it is slow."""
    if not is_slow:
        return function(*args)
    return await asyncio.get_running_loop().run_in_executor(None, function, *args)
