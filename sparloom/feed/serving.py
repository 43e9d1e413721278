"""Serves the feed to one follower; controllers and relays do it alike."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.feed import FeedHeartbeat
from sparloom.transport import monotonic

if TYPE_CHECKING:
    from typing import Protocol

    from sparloom.codec import Record
    from sparloom.feed import Version, VersionedStore
    from sparloom.transport import Frames

    class FeedSource(Protocol):
        """What ``serve_follower`` needs of a controller or relay."""

        @property
        def store(self) -> VersionedStore:
            """The states to serve."""

        @property
        def change_signal(self) -> ChangeSignal:
            """Notified at each change of the store and at each heartbeat from above."""

        @property
        def write_timeout(self) -> timedelta:
            """How long a follower may read nothing of what is written to it."""

        def is_open(self) -> bool:
            """Whether followers are served."""

        def heartbeat_interval(self) -> timedelta:
            """The longest time between two heartbeats."""

        def confirmation_age_ms(self) -> int:
            """Milliseconds since the primary was confirmed, or ``UNCONFIRMED``."""

        def newest_configuration(self) -> Version:
            """The newest version of the configuration that is stored here or was heard of."""


MS = timedelta(milliseconds=1)


class ChangeSignal:
    """Wakes every task that waits for the next change.

    Attributes
    ----------
    event
        Set at the next change; take it before looking at the state, then wait
        for it, so that no change in between is missed.

    Examples
    --------
    >>> ChangeSignal().event.is_set()
    False
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all that wait now; who waits later waits for the next change.

        Examples
        --------
        >>> ChangeSignal().notify()
        """
        self.event.set()
        self.event = asyncio.Event()


async def serve_follower(frames: Frames, versions: dict[int, Version], source: FeedSource) -> None:
    """Sends a follower what it lacks, then every change and heartbeats, until the source closes.

    Each follower has a task of its own and at most one change in flight, so
    one that does not read delays no other.

    Parameters
    ----------
    frames
        The follower's connection.
    versions
        The follower's version of each topic; updated as changes are sent.
    source
        The controller or relay that serves.

    Raises
    ------
    OSError
        The connection is lost.
    TimeoutError
        The follower read nothing for ``source.write_timeout``.
    """
    # The first heartbeat precedes the changes: a follower learns at once whether this source is
    # alive and confirmed, and which configuration it must hold to be up to date.
    await _send_heartbeat(frames, source)
    while source.is_open():
        event = source.change_signal.event
        if await _send_changes(frames, versions, source):
            await _send_heartbeat(frames, source)
        await _wait(event, source.heartbeat_interval())
        if source.is_open() and not source.store.is_behind(versions):
            await _send_heartbeat(frames, source)


async def _send(frames: Frames, message: Record, source: FeedSource) -> None:
    await frames.write(message, source.write_timeout)


async def _send_heartbeat(frames: Frames, source: FeedSource) -> None:
    epoch, number = source.newest_configuration()
    heartbeat = FeedHeartbeat(epoch, number, source.confirmation_age_ms(), int(monotonic() / MS))
    await _send(frames, heartbeat, source)


async def _send_changes(frames: Frames, versions: dict[int, Version], source: FeedSource) -> bool:
    """Sends what the follower lacks; whether it lacked anything."""
    changes = source.store.changes_after(versions)
    for change in changes:
        versions[change.topic] = change.version
        await _send(frames, change, source)
    return bool(changes)


async def _wait(event: asyncio.Event, limit: timedelta) -> None:
    """Waits for an event, but no longer than ``limit``."""
    try:
        async with asyncio.timeout(limit.total_seconds()):
            await event.wait()
    except TimeoutError:
        pass
