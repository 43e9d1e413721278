"""Serves routers' job calls on persistent connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from sparloom.codec import DecodeError
from sparloom.scheduler.messages import JobCall

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta

    from sparloom.codec import Record
    from sparloom.scheduler.messages import JobReply
    from sparloom.transport import Frames

CONNECTION_ERRORS = (OSError, EOFError, DecodeError, TimeoutError)


async def serve_job_calls(
    frames: Frames, first: Record, answer: Callable[[JobCall], Awaitable[JobReply]], stall_timeout: timedelta
) -> None:
    """Answer the calls on one connection concurrently until the connection ends.

    Raises
    ------
    OSError, EOFError, DecodeError
        The connection ended, or it received data that is not a job call.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def reply_to(call: JobCall) -> None:
        with suppress(*CONNECTION_ERRORS):
            await frames.write(await answer(call), stall_timeout)

    record = first
    try:
        while isinstance(record, JobCall):
            task = asyncio.get_running_loop().create_task(reply_to(record))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            record = await frames.read()
    finally:
        for task in list(tasks):
            task.cancel()
