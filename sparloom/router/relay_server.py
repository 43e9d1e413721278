"""Passes the feed on to routers that follow this one."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service

from sparloom.codec import DecodeError
from sparloom.feed import UNCONFIRMED, Subscribe
from sparloom.feed.serving import serve_follower
from sparloom.settings import Address
from sparloom.transport import Frames, bind, monotonic

if TYPE_CHECKING:
    from sparloom.feed import VersionedStore
    from sparloom.feed.serving import ChangeSignal

    from .feed_client import FeedClient
    from .router_state import RouterState

MS = timedelta(milliseconds=1)
# Parts of the contact bound.
HEARTBEAT_PART = 10
WRITE_TIMEOUT_PART = 3
# A relay passes heartbeats on as they come; by itself it waits longer than its source does.
HEARTBEAT_SLACK = 1.5


class RelayServer(Service):
    """Serves followers while this router itself follows a controller; a source for ``serve_follower``.

    The port is not bound early: a router that is not ready to serve should
    reject followers at once, so that they go on to the next one.

    Attributes
    ----------
    write_timeout: how long a follower may take no byte, or take to subscribe.
    followers: the node name of each follower by its connection.
    server: the listening server; None where the port is taken or before the start.
    """

    def __init__(self, state: RouterState, feed_client: FeedClient) -> None:
        super().__init__()
        contact_bound = state.settings.bounds.contact
        self.router_state = state
        self.feed_client = feed_client
        self.write_timeout = contact_bound / WRITE_TIMEOUT_PART
        self.server: asyncio.Server | None = None
        self.followers: dict[Frames, str] = {}
        self._heartbeat_interval = contact_bound / HEARTBEAT_PART * HEARTBEAT_SLACK

    @property
    def store(self) -> VersionedStore:
        """What is served: what this router itself has."""
        return self.feed_client.store

    @property
    def change_signal(self) -> ChangeSignal:
        """Notified of changes and of each heartbeat from above."""
        return self.feed_client.change_signal

    async def on_start(self) -> None:
        """Listens; where the port is taken this router simply doesn't serve."""
        settings = self.router_state.settings
        address = Address(settings.ip, settings.router_port)
        try:
            self.server = await asyncio.start_server(self._on_connection, sock=bind(address))
        except OSError:
            self.server = None

    async def on_stop(self) -> None:
        """Ends all connections."""
        if self.server:
            self.server.close()
        for frames in list(self.followers):
            frames.close()

    def is_open(self) -> bool:
        """Whether followers are served."""
        return self.feed_client.upstream.can_serve() and not self.should_stop

    def heartbeat_interval(self) -> timedelta:
        """How long a follower waits for a heartbeat when none comes from above."""
        return self._heartbeat_interval

    def newest_configuration(self) -> tuple[int, int]:
        """The version of the newest configuration that this router has or has heard of."""
        return self.feed_client.newest_configuration()

    def confirmation_age_ms(self) -> int:
        """Milliseconds since the primary was confirmed, as known here; it grows while this router is partitioned."""
        age = self._last_confirmed_age_ms()
        return UNCONFIRMED if age is None else min(UNCONFIRMED - 1, age)

    def _last_confirmed_age_ms(self) -> int | None:
        age = self.feed_client.upstream.tracker.last_confirmed_age(monotonic())
        return None if age is None else int(age / MS)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = Frames(reader, writer)
        try:
            async with asyncio.timeout(self.write_timeout.total_seconds()):
                first = await frames.read()
            if isinstance(first, Subscribe) and self._has_room():
                self.followers[frames] = first.node
                await serve_follower(frames, first.versions, self)
        except (OSError, EOFError, DecodeError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.followers.pop(frames, None)
            frames.close()

    def _has_room(self) -> bool:
        return self.is_open() and len(self.followers) < self.feed_client.upstream.follower_limit()

    def told(self) -> dict[str, Any]:
        """This router's place in the tier, for its beliefs (a JSON object)."""
        upstream = self.feed_client.upstream
        return {
            "follows": upstream.parent,
            "depth": upstream.depth,
            "ageMs": self._last_confirmed_age_ms(),
            "relay": upstream.tier.is_relay,
            "followers": sorted(self.followers.values()),
        }
