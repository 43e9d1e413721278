"""Faults of a soak in a series that overlaps: each begins some time after the one before, whether that is over or not."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Sequence


async def overlapping(
    luck: random.Random,
    faults: Sequence[Callable[[], Coroutine[Any, Any, object]]],
    pauses_s: tuple[float, float],
    goes_on: Callable[[], bool],
) -> None:
    """Begin faults that are drawn by luck, and return once all of them are over.

    Parameters
    ----------
    pauses_s
        The shortest and the longest time before each, in seconds.
    goes_on
        Whether another one is to begin.
    """
    running: set[asyncio.Task[object]] = set()
    while goes_on():
        await asyncio.sleep(luck.uniform(*pauses_s))
        task = asyncio.ensure_future(luck.choice(faults)())
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
