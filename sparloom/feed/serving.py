"""``serve_follower``: serves the feed to one follower, from a controller or a relay."""

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
        """The interface of a controller or relay that ``serve_follower`` uses."""

        @property
        def store(self) -> VersionedStore:
            """The states to serve."""

        @property
        def change_signal(self) -> ChangeSignal:
            """Notified at each change of the store and at each heartbeat from upstream."""

        @property
        def write_timeout(self) -> timedelta:
            """How long a write may be blocked by a follower that does not read."""

        def is_open(self) -> bool:
            """Whether followers are served."""

        def heartbeat_interval(self) -> timedelta:
            """The longest time between two heartbeats."""

        def confirmation_age_ms(self) -> int:
            """Milliseconds since the primary was confirmed, or ``UNCONFIRMED``."""

        def newest_configuration(self) -> Version:
            """The newest version of the configuration that is stored here or known to exist."""


MS = timedelta(milliseconds=1)


class ChangeSignal:
    """Wakes all tasks that wait for the next change.

    Attributes
    ----------
    event
        Set at the next change. Get the event before reading the state and wait
        for it afterwards, so that no change in between is missed.

    Examples
    --------
    >>> ChangeSignal().event.is_set()
    False
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all waiting tasks; a task that waits later waits for the next change.

        Examples
        --------
        >>> ChangeSignal().notify()
        """
        self.event.set()
        self.event = asyncio.Event()


async def serve_follower(frames: Frames, versions: dict[int, Version], source: FeedSource) -> None:
    """Sends a follower all missing changes, then new changes and heartbeats, until the source closes.

    Each follower has its own task and at most one change in flight, so a slow
    follower does not delay the others.

    Parameters
    ----------
    frames
        The follower's connection.
    versions
        The follower's version of each topic; updated as changes are sent.
    source
        The controller or relay that serves the feed.

    Raises
    ------
    OSError
        The connection is lost.
    TimeoutError
        The follower did not read for ``source.write_timeout``.
    """
    # The first heartbeat precedes the changes. From it the follower learns whether this source is alive and
    # confirmed, and which version of the configuration is up to date.
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
    """Sends the changes that the follower lacks; returns whether there were any."""
    changes = source.store.changes_after(versions)
    for change in changes:
        versions[change.topic] = change.version
        await _send(frames, change, source)
    return bool(changes)


async def _wait(event: asyncio.Event, timeout: timedelta) -> None:
    """Waits for an event, at most for ``timeout``."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await event.wait()
    except TimeoutError:
        pass
