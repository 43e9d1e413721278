"""Client of the feed of configurations and endpoint lists, which a controller or a relay serves (``FeedClient``)."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

from absl import logging
from mode import Service

from sparloom.codec import DecodeError
from sparloom.configuration import build
from sparloom.feed import CONFIGURATION, ENDPOINTS, NO_VERSION, TOPICS, Change, FeedHeartbeat, VersionedStore
from sparloom.feed import payload as feed_payload
from sparloom.feed.serving import ChangeSignal
from sparloom.membership import CONTROLLER
from sparloom.relay import LeaveReason, Upstream, UpstreamTiming
from sparloom.transport import DialTimeout, monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.transport import Frames

    from .membership_service import MembershipService
    from .router_state import RouterState

MS = timedelta(milliseconds=1)
# The timeout of the first dial is the contact bound divided by this.
FIRST_DIAL_DIVISOR = 40
# Before leaving a source, the client waits the contact bound divided by this for records that arrived while this
# process was stalled.
STALL_CHECK_DIVISOR = 100
# The timeout for the rest of a record whose first bytes have arrived is the contact bound divided by this.
RECORD_TIMEOUT_DIVISOR = 3
# Minimum delay before the next connection.
MINIMUM_RECONNECT_DELAY_S = 0.02
# Maximum random delay (jitter) that is added to the minimum delay.
RECONNECT_JITTER_S = 0.04


class FeedClient(Service):
    """Follows one source, a controller or a relay, at a time; ``Upstream`` selects it and decides when to leave it.

    ``on_change()`` is called after each applied change; for an endpoint list,
    after ``on_endpoints()``.

    Attributes
    ----------
    store: the state of each topic with its version; relays serve from it.
    change_signal: notified of each heartbeat and each change.
    upstream: selects the source to follow.
    announced_version: the newest configuration version that a heartbeat has announced.
    raw_configuration: the configuration in the feed's form, to which deltas are applied.
    topics_to_resync: topics for which this router requests a full snapshot.
    """

    def __init__(
        self,
        state: RouterState,
        membership: MembershipService,
        on_endpoints: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        super().__init__()
        contact_bound = state.settings.bounds.contact
        self.router_state = state
        self.membership = membership
        self.on_endpoints = on_endpoints
        self.on_change = on_change
        self.store = VersionedStore()
        self.change_signal = ChangeSignal()
        self.upstream = Upstream(state.key, UpstreamTiming.from_contact_bound(contact_bound), state.random)
        self.dial_timeout = DialTimeout(contact_bound / FIRST_DIAL_DIVISOR, self.upstream.timing.dial)
        self.raw_configuration: dict[str, Any] | None = None
        self.topics_to_resync: set[int] = set()
        self.announced_version: tuple[int, int] = NO_VERSION

    def _controllers(self) -> list[str]:
        """Returns the addresses of the controllers: those of this zone first, otherwise in random order."""
        state = self.router_state
        zones = {peer.key: peer.zone for peer in self.membership.swim.alive() if peer.role == CONTROLLER}
        for seed in state.seeds:
            zones.setdefault(seed, "")
        return sorted(zones, key=lambda key: (zones[key] != state.settings.zone, state.random.random()))

    @Service.task
    async def _follow_upstream(self) -> None:
        upstream = self.upstream
        while not self.should_stop:
            address = upstream.choose(monotonic(), self._controllers())
            if address is not None:
                upstream.on_connecting(monotonic(), address)
                reason = LeaveReason.GONE
                with suppress(OSError, EOFError, DecodeError, TimeoutError):
                    reason = await self.follow(address)
                upstream.on_disconnected(monotonic(), reason)
            await asyncio.sleep(MINIMUM_RECONNECT_DELAY_S + RECONNECT_JITTER_S * self.router_state.random.random())

    async def follow(self, address: str) -> LeaveReason:
        """Follows one controller or relay until there is a reason to leave it, and returns that reason.

        Raises
        ------
        OSError, EOFError, TimeoutError: the connection failed or was closed.
        DecodeError: the source sent something other than a record of the feed.
        """
        host, _, port = address.rpartition(":")
        upstream = self.upstream
        frames = await self.dial_timeout.dial(host, int(port))
        try:
            await frames.write(self.store.subscription(self.router_state.settings.node, self.topics_to_resync))
            upstream.tracker.start(monotonic())
            logging.info("feed: following source=%s depth=%d", address, upstream.depth)
            while True:
                # This process may have stalled, so records that have arrived are read before the source is left.
                reason: LeaveReason | None = upstream.leave_reason(monotonic())
                stall_check = upstream.timing.contact / STALL_CHECK_DIVISOR
                record = await self._read(frames, stall_check if reason else upstream.next_check_delay(monotonic()))
                if record is None and reason:
                    logging.info("feed: left source=%s reason=%s", address, reason)
                    return reason
                if record is not None and not self._handle_record(record):
                    return LeaveReason.GONE
        finally:
            frames.close()

    async def _read(self, frames: Frames, wait: timedelta) -> Record | None:
        """Returns the next record, or None after a timeout; a record that has started to arrive gets more time.

        Raises
        ------
        TimeoutError: a record that has started to arrive is not complete in time.
        """
        loop = asyncio.get_running_loop()
        record_timeout_s = self.router_state.settings.bounds.contact.total_seconds() / RECORD_TIMEOUT_DIVISOR
        started = False

        def extend() -> None:
            nonlocal started
            started = True
            timeout.reschedule(loop.time() + record_timeout_s)

        try:
            async with asyncio.timeout(wait.total_seconds()) as timeout:
                record: Record = await frames.read(extend)
                return record
        except TimeoutError:
            if started or not timeout.expired():
                raise
            return None

    def _handle_record(self, record: Record) -> bool:
        """Handles a record; returns False if this router must leave the source."""
        if isinstance(record, FeedHeartbeat):
            self._handle_heartbeat(record)
            return True
        if isinstance(record, Change):
            return self.take_change(record)
        raise DecodeError(f"expected a heartbeat or a change of the feed, found {type(record).__name__}")

    def _handle_heartbeat(self, heartbeat: FeedHeartbeat) -> None:
        """Applies a heartbeat.

        Records the confirmation of the primary, unless the endpoint list needs a full snapshot. If this router has the
        newest announced configuration and the confirmation is recent, the confirmation of the configuration is also
        recorded, and this router's state is marked as confirmed once there is an endpoint list.
        """
        self.upstream.on_heartbeat(monotonic(), heartbeat.confirmation_age_ms, heartbeat.sent_at_ms)
        self.announced_version = max(self.announced_version, heartbeat.configuration_version)
        state = self.router_state
        initialized = state.endpoint_list is not None and state.configuration is not None
        up_to_date = self.store.version(CONFIGURATION) >= self.newest_configuration()
        recent = heartbeat.confirmation_age_ms < self.upstream.tracker.maximum_age / MS
        state.confirmed = state.confirmed or initialized and up_to_date and recent
        confirmed_at = self.upstream.tracker.confirmed_at
        if confirmed_at is not None and ENDPOINTS not in self.topics_to_resync:
            state.record_primary_confirmation(confirmed_at)
        if confirmed_at is not None and up_to_date and recent:
            state.record_configuration_confirmation(confirmed_at)
        self.change_signal.notify()

    def newest_configuration(self) -> tuple[int, int]:
        """Returns the newest configuration version that this router has or that a heartbeat has announced."""
        current: tuple[int, int] = self.store.version(CONFIGURATION)
        return max(self.announced_version, current)

    def take_change(self, change: Change) -> bool:
        """Applies a change, or ignores it if it is outdated.

        Returns False if its base version differs or its payload is invalid. After an invalid payload, the next
        subscription requests a full snapshot of the topic.

        Raises
        ------
        DecodeError: the topic is unknown.
        """
        if change.topic not in TOPICS:
            raise DecodeError(f"unknown topic {change.topic}, expected one of {sorted(TOPICS)}")
        self.upstream.on_change(monotonic())
        current = self.store.version(change.topic)
        if change.version <= current:
            return True
        if change.base not in (NO_VERSION, current):
            return False
        is_configuration = change.topic == CONFIGURATION
        old = self.raw_configuration if is_configuration else self.router_state.endpoint_list
        try:
            new = feed_payload.apply_change(change, old)
        except feed_payload.PayloadError as error:
            logging.warning("feed: change rejected topic=%d error=%r", change.topic, str(error))
            self.topics_to_resync.add(change.topic)
            return False
        self._apply_state(is_configuration, new)
        self._store_change(change, new)
        return True

    def _apply_state(self, is_configuration: bool, new: Any) -> None:
        state = self.router_state
        if is_configuration:
            self.raw_configuration = new
            state.configuration = build(new)
            logging.info(
                "feed: configuration in force revision=%d evacuated=%s",
                state.configuration.revision,
                ",".join(sorted(state.configuration.evacuated_zones)) or "none",
            )
        else:
            state.endpoint_list = new
            draining = [endpoint.id for endpoint in new.runners if endpoint.draining]
            logging.info("feed: endpoints in force runners=%d draining=%s", len(new.runners), ",".join(draining))
            self.on_endpoints()
        self.on_change()

    def _store_change(self, change: Change, new: Any) -> None:
        """Stores a change for followers; the full snapshot is encoded only when it is requested."""
        if change.base == NO_VERSION:
            self.topics_to_resync.discard(change.topic)
            self.store.put(change.topic, change.version, change.payload)
        else:
            encode = partial(feed_payload.encode_state, change.topic, new)
            self.store.put(change.topic, change.version, encode, change.payload)
        self.change_signal.notify()
