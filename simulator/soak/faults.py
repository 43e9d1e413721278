"""Injects faults at random intervals; a fault may start while earlier ones are still active."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Sequence


async def inject_overlapping(
    rng: random.Random,
    faults: Sequence[Callable[[], Coroutine[Any, Any, object]]],
    delays_s: tuple[float, float],
    should_continue: Callable[[], bool],
) -> None:
    """Start randomly chosen faults, and return when all of them have finished.

    Parameters
    ----------
    delays_s
        The minimum and the maximum delay before each fault, in seconds.
    should_continue
        Returns whether another fault is to be started.
    """
    running: set[asyncio.Task[object]] = set()
    while should_continue():
        await asyncio.sleep(rng.uniform(*delays_s))
        task = asyncio.ensure_future(rng.choice(faults)())
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
