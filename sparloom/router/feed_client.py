"""Follows the feed of configurations and endpoint lists, from a controller or a relay."""

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
# Parts of the contact bound.
FIRST_DIAL_PART = 40
STALL_CHECK_PART = 100
RECORD_PART = 3
# Seconds between two connections: at least so long, and a random part besides.
MINIMUM_PAUSE_S = 0.02
RANDOM_PAUSE_S = 0.04


class FeedClient(Service):
    """Follows one controller or relay at a time; ``Upstream`` says which, and when to leave it.

    ``on_endpoints()`` is called when an endpoint list was taken, and then, as
    after each other change, ``on_change()``.

    Attributes
    ----------
    store: what this router has of each topic, with its version; relays serve from it.
    change_signal: notified of each heartbeat and each change.
    upstream: the decisions whom to follow.
    announced_version: the newest configuration that a heartbeat spoke of.
    raw_configuration: the configuration as the feed has it; changes are applied to it.
    resync: topics of which the whole state is asked for.
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
        self.dial_timeout = DialTimeout(contact_bound / FIRST_DIAL_PART, self.upstream.timing.dial)
        self.raw_configuration: dict[str, Any] | None = None
        self.resync: set[int] = set()
        self.announced_version: tuple[int, int] = NO_VERSION

    def _controllers(self) -> list[str]:
        """The addresses of controllers to follow, those of this zone first, else in random order."""
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
            await asyncio.sleep(MINIMUM_PAUSE_S + RANDOM_PAUSE_S * self.router_state.random.random())

    async def follow(self, address: str) -> LeaveReason:
        """Follows one controller or relay; gives the reason to leave it.

        Raises
        ------
        OSError, EOFError, TimeoutError: the connection failed or ended.
        DecodeError: something came that is no record of the feed.
        """
        host, _, port = address.rpartition(":")
        upstream = self.upstream
        frames = await self.dial_timeout.dial(host, int(port))
        try:
            await frames.write(self.store.subscription(self.router_state.settings.node, self.resync))
            upstream.tracker.start(monotonic())
            logging.info("feed: following source=%s depth=%d", address, upstream.depth)
            while True:
                # After a stall of its own it first reads what waits, and then judges.
                leave: LeaveReason | None = upstream.leave_reason(monotonic())
                stall_check = upstream.timing.contact / STALL_CHECK_PART
                record = await self._read(frames, stall_check if leave else upstream.next_check_delay(monotonic()))
                if record is None and leave:
                    logging.info("feed: left source=%s reason=%s", address, leave)
                    return leave
                if record is not None and not self._take_record(record):
                    return LeaveReason.GONE
        finally:
            frames.close()

    async def _read(self, frames: Frames, wait: timedelta) -> Record | None:
        """The next record, or None when none came in time; one that has begun to come may take longer."""
        loop = asyncio.get_running_loop()
        longer = self.router_state.settings.bounds.contact.total_seconds() / RECORD_PART
        begun = False

        def extend() -> None:
            nonlocal begun
            begun = True
            limit.reschedule(loop.time() + longer)

        try:
            async with asyncio.timeout(wait.total_seconds()) as limit:
                record: Record = await frames.read(extend)
                return record
        except TimeoutError:
            if begun or not limit.expired():
                raise
            return None

    def _take_record(self, record: Record) -> bool:
        """Takes a record in; False where its sender must be left."""
        if isinstance(record, FeedHeartbeat):
            self._take_heartbeat(record)
            return True
        if isinstance(record, Change):
            return self.take_change(record)
        raise DecodeError(f"expected a heartbeat or a change of the feed, found {type(record).__name__}")

    def _take_heartbeat(self, heartbeat: FeedHeartbeat) -> None:
        """Confirms what this router has, only where it has the configuration that the heartbeat speaks of."""
        self.upstream.on_heartbeat(monotonic(), heartbeat.confirmation_age_ms, heartbeat.sent_at_ms)
        self.announced_version = max(self.announced_version, heartbeat.configuration_version)
        state = self.router_state
        known = state.endpoint_list is not None and state.configuration is not None
        up_to_date = self.store.version(CONFIGURATION) >= self.newest_configuration()
        recent = heartbeat.confirmation_age_ms < self.upstream.tracker.maximum_age / MS
        state.confirmed = state.confirmed or known and up_to_date and recent
        confirmed_at = self.upstream.tracker.confirmed_at
        if confirmed_at is not None and ENDPOINTS not in self.resync:
            state.note_confirmation(confirmed_at)
        if confirmed_at is not None and up_to_date and recent:
            state.note_configuration(confirmed_at)
        self.change_signal.notify()

    def newest_configuration(self) -> tuple[int, int]:
        """The version of the newest configuration that this router has or has heard of."""
        present: tuple[int, int] = self.store.version(CONFIGURATION)
        return max(self.announced_version, present)

    def take_change(self, change: Change) -> bool:
        """Applies a change; False where it doesn't fit what this router has.

        Raises
        ------
        DecodeError: the topic is unknown.
        """
        if change.topic not in TOPICS:
            raise DecodeError(f"expected a topic of {sorted(TOPICS)}, found {change.topic}")
        self.upstream.on_change(monotonic())
        present = self.store.version(change.topic)
        if change.version <= present:
            return True
        if change.base not in (NO_VERSION, present):
            return False
        is_configuration = change.topic == CONFIGURATION
        old = self.raw_configuration if is_configuration else self.router_state.endpoint_list
        try:
            new = feed_payload.apply_change(change, old)
        except feed_payload.PayloadError as error:
            logging.warning("feed: change rejected topic=%d error=%r", change.topic, str(error))
            self.resync.add(change.topic)
            return False
        self._use(is_configuration, new)
        self._keep(change, new)
        return True

    def _use(self, is_configuration: bool, new: Any) -> None:
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

    def _keep(self, change: Change, new: Any) -> None:
        """Stores a change for followers; the bytes of the whole state are made only when asked for."""
        if change.base == NO_VERSION:
            self.resync.discard(change.topic)
            self.store.put(change.topic, change.version, change.payload)
        else:
            encode = partial(feed_payload.encode_state, change.topic, new)
            self.store.put(change.topic, change.version, encode, change.payload)
        self.change_signal.notify()
