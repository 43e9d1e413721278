"""Receives the feed from the primary and serves it to the followers of this controller.

``FeedServer`` stores the newest state of each topic, with deltas between
versions, and passes states, deltas and heartbeats on.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from absl import logging
from mode import Service

from sparloom.codec import DecodeError
from sparloom.configuration import evacuated_zones
from sparloom.feed import (
    CONFIGURATION,
    NO_VERSION,
    TOPICS,
    UNCONFIRMED,
    Change,
    FeedHeartbeat,
    SourceTracker,
    Subscribe,
    VersionedStore,
)
from sparloom.feed import payload as feed_payload
from sparloom.feed.serving import MS, ChangeSignal, serve_follower
from sparloom.transport import DialTimeout, monotonic

if TYPE_CHECKING:
    from datetime import timedelta

    from sparloom.codec import Record
    from sparloom.consensus import Member
    from sparloom.settings import Settings
    from sparloom.transport import Frames

    from .consensus_service import ConsensusService

    Version = tuple[int, int]

# A controller that forwards heartbeats uses the primary's heartbeat interval multiplied by this factor.
FORWARDED_INTERVAL_FACTOR = 1.5
# The number of attempts per heartbeat interval to find the primary and, if it is another member, connect to it.
RETRIES_PER_INTERVAL = 6


class FeedServer(Service):
    """Provides the newest state of each topic to the followers of this controller.

    ``serve_follower`` requires the attributes and the methods up to ``serve``
    of its source.

    Attributes
    ----------
    consensus : ConsensusService
        Identifies the primary; must be set before the start.
    store : VersionedStore
        The newest states and the deltas between them.
    change_signal : ChangeSignal
        Wakes the tasks that serve followers.
    announced_version : tuple of int
        The newest version of the configuration announced by a heartbeat of the primary.
    topics_to_resync : set of int
        The topics whose delta could not be applied; their complete states are requested.
    primary_interval : timedelta
        The interval between heartbeats of the primary.
    write_timeout : timedelta
        The connection of a follower that reads nothing for this time is closed.
    """

    consensus: ConsensusService

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.store = VersionedStore()
        self.change_signal = ChangeSignal()
        self.topics_to_resync: set[int] = set()
        self.announced_version: Version = NO_VERSION
        contact_bound = settings.bounds.contact
        self.primary_interval, self.write_timeout = contact_bound / 10, contact_bound / 3
        self.tracker = SourceTracker(contact_bound / 3, contact_bound / 3)
        self.dialing = DialTimeout(contact_bound / 40, contact_bound / 5)
        # Caches the evacuated zones of the configuration with the version in _evacuated_at.
        self._evacuated: frozenset[str] | None = None
        self._evacuated_at: Version = NO_VERSION

    # -- source interface for serve_follower ------------------------------------
    def is_open(self) -> bool:
        """Whether followers are served."""
        return not self.should_stop

    def heartbeat_interval(self) -> timedelta:
        """The longest time between two heartbeats to a follower."""
        if self.consensus.member.leading():
            return self.primary_interval
        return self.primary_interval * FORWARDED_INTERVAL_FACTOR

    def confirmation_age_ms(self) -> int:
        """Milliseconds since the last known confirmation of the primary; ``UNCONFIRMED`` if there was none."""
        now, member = monotonic(), self.consensus.member
        age = member.confirmation_age(now) if member.leading() else self.tracker.last_confirmed_age(now)
        return UNCONFIRMED if age is None else max(0, min(UNCONFIRMED - 1, int(age / MS)))

    def newest_configuration(self) -> Version:
        """The version of the newest configuration that this controller stores or that was announced to it."""
        stored: Version = self.store.version(CONFIGURATION)
        return max(self.announced_version, stored)

    async def serve(self, frames: Frames, first: Record) -> None:
        """Serves one follower until its connection closes; ``first`` is the first record that it sent."""
        if isinstance(first, Subscribe):
            await serve_follower(frames, first.versions, self)

    def evacuated_zones(self) -> frozenset[str] | None:
        """The evacuated zones in the newest stored configuration; None before the first one."""
        version = self.store.version(CONFIGURATION)
        if version != self._evacuated_at:
            self._evacuated_at, self._evacuated = version, evacuated_zones(self.state_of(CONFIGURATION))
        return self._evacuated

    # -- publishing -------------------------------------------------------------
    def state_of(self, topic: int) -> Any:
        """The newest state of a topic (a configuration's dict, or an ``EndpointList``), or None."""
        item = self.store.items.get(topic)
        return item and feed_payload.decode_payload(topic, item.payload)

    def publish(self, topic: int, version: Version, state: Any) -> None:
        """Stores a state if it is newer, with a delta from the previous state if that is smaller."""
        if version > self.store.version(topic):
            blob, old = feed_payload.encode_state(topic, state), self.state_of(topic)
            self._put(topic, version, blob, old and feed_payload.encode_delta(topic, old, state, len(blob)))

    def _put(self, topic: int, version: Version, blob: bytes, delta: bytes | None = None) -> None:
        if self.store.put(topic, version, blob, delta):
            self.change_signal.notify()

    # -- following the primary ----------------------------------------------------
    @Service.task
    async def _follow_primaries(self) -> None:
        pause_s = self.primary_interval.total_seconds() / RETRIES_PER_INTERVAL
        while not self.should_stop:
            primary = self.consensus.member.primary()
            if primary is not None and primary.id != self.consensus.member.member.id:
                with suppress(OSError, EOFError, DecodeError, TimeoutError):
                    await self._follow(primary)
            await asyncio.sleep(pause_s)

    async def _follow(self, primary: Member) -> None:
        """Follows a primary until the primary changes, the connection fails, or a change can't be applied.

        Raises
        ------
        OSError, EOFError, TimeoutError
            The connection failed, was closed, or timed out.
        DecodeError
            The primary sent an invalid or unexpected record.
        """
        frames = await self.dialing.dial(primary.host, primary.port)
        try:
            await frames.write(self.store.subscription(self.settings.node, self.topics_to_resync))
            self.tracker.start(monotonic())
            while self.consensus.member.primary() == primary:
                async with asyncio.timeout(self.tracker.timeout.total_seconds()):
                    record = await frames.read()
                if not self._receive(record):
                    return
        finally:
            frames.close()

    def _receive(self, record: Record) -> bool:
        """Handles a record of the feed; returns whether to continue following the primary."""
        if isinstance(record, FeedHeartbeat):
            self.tracker.on_heartbeat(monotonic(), record.confirmation_age_ms, record.sent_at_ms)
            self.announced_version = max(self.announced_version, record.configuration_version)
            self.change_signal.notify()
            return True
        if isinstance(record, Change):
            return self._apply(record)
        raise DecodeError(f"expected a record of the feed, found {type(record).__name__}")

    def _apply(self, change: Change) -> bool:
        """Stores a change; returns False if it can't be applied. Followers receive a delta as a delta."""
        if change.topic not in TOPICS:
            raise DecodeError(f"expected a topic of {TOPICS}, found {change.topic}")
        if change.version <= self.store.version(change.topic):
            return True
        is_complete = change.base == NO_VERSION
        if not is_complete and change.base != self.store.version(change.topic):
            return False
        try:
            state = feed_payload.apply_change(change, None if is_complete else self.state_of(change.topic))
        except feed_payload.PayloadError as error:
            logging.warning("feed: change rejected topic=%d error=%r", change.topic, str(error))
            self.topics_to_resync.add(change.topic)
            return False
        if is_complete:
            self._put(change.topic, change.version, change.payload)
            self.topics_to_resync.discard(change.topic)
        else:
            self._put(change.topic, change.version, feed_payload.encode_state(change.topic, state), change.payload)
        return True
