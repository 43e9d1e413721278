"""Serves the feed to one follower; controllers and relays do it alike."""

import asyncio
from datetime import timedelta

from sparloom.feed import FeedHeartbeat
from sparloom.transport import monotonic

MS = timedelta(milliseconds=1)


class ChangeSignal:
    """Rings for all who wait at it.

    >>> ChangeSignal().event.is_set()
    False
    """

    def __init__(self):
        self.event = asyncio.Event()

    def notify(self):
        """Wakes all that wait now.

        >>> ChangeSignal().notify()
        """
        self.event.set()
        self.event = asyncio.Event()


async def serve_follower(frames, place, src):
    """Brings a follower up from its place and keeps it so, until ``src.is_open()`` ends or it stops reading.

    ``src``: ``store``, ``change_signal``, ``heartbeat_interval()`` between pulses, ``confirmation_age_ms()``,
    ``newest_configuration()`` and ``write_timeout`` with a write that makes no way. Each follower has its own task
    and at most one change in hand, so one that does not read holds up nobody.

    The first pulse comes ahead of the changes: a follower learns at once
    whether this one lives and is sure. The stamp in it tells which policy the
    follower must hold to be up to date.
    """

    async def write(rec):
        await frames.write(rec, src.write_timeout)

    async def pulse():
        await write(FeedHeartbeat(*src.newest_configuration(), src.confirmation_age_ms(), int(monotonic() / MS)))

    await pulse()
    while src.is_open():
        event = src.change_signal.event
        todo = src.store.changes_after(place)
        for c in todo:
            place[c.topic] = c.version
            await write(c)
        if todo:
            await pulse()
        try:
            async with asyncio.timeout(src.heartbeat_interval().total_seconds()):
                await event.wait()
        except TimeoutError:
            pass
        if src.is_open() and not src.store.is_behind(place):
            await pulse()
