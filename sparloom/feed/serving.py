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

    def ring(self):
        """Wakes all that wait now.

        >>> ChangeSignal().ring()
        """
        self.event.set()
        self.event = asyncio.Event()


async def serve_follower(frames, place, src):
    """Brings a follower up from its place and keeps it so, until ``src.open()`` ends or it stops reading.

    ``src``: ``shelf``, ``bell``, ``period()`` between pulses, ``pulse_age()`` in ms,
    ``newest_policy()`` and ``patience`` with a write that makes no way. Each follower has its own task
    and at most one change in hand, so one that does not read holds up nobody.

    The first pulse comes ahead of the changes: a follower learns at once
    whether this one lives and is sure. The stamp in it tells which policy the
    follower must hold to be up to date.
    """

    async def write(rec):
        await frames.write(rec, src.patience)

    async def pulse():
        await write(FeedHeartbeat(*src.newest_policy(), src.pulse_age(), int(monotonic() / MS)))

    await pulse()
    while src.open():
        event = src.bell.event
        todo = src.shelf.lacking(place)
        for c in todo:
            place[c.topic] = c.stamp
            await write(c)
        if todo:
            await pulse()
        try:
            async with asyncio.timeout(src.period().total_seconds()):
                await event.wait()
        except TimeoutError:
            pass
        if src.open() and not src.shelf.lacks(place):
            await pulse()
