"""Server that relays the feed to routers that follow this one (``RelayServer``)."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from mode import Service

from sparloom.feed import UNCONFIRMED, Subscribe
from sparloom.feed.serving import serve_follower
from sparloom.settings import Address
from sparloom.transport import bind, monotonic
from sparloom.transport.frame_server import FrameServer

if TYPE_CHECKING:
    from sparloom.codec import Record
    from sparloom.feed import VersionedStore
    from sparloom.feed.serving import ChangeSignal
    from sparloom.transport import Frames

    from .feed_client import FeedClient
    from .router_state import RouterState

MS = timedelta(milliseconds=1)
# The fraction of the sockets that connections of followers may use.
FOLLOWER_CONNECTION_FRACTION = 0.1
# The heartbeat interval of a source is the contact bound divided by this.
HEARTBEAT_DIVISOR = 10
# The timeout for a follower's subscription, and for writes to it, is the contact bound divided by this.
WRITE_TIMEOUT_DIVISOR = 3
# Factor by which a relay's own heartbeat interval exceeds its source's. A relay forwards heartbeats as they arrive, and
# sends one of its own only when its source is late.
HEARTBEAT_INTERVAL_FACTOR = 1.5


class RelayServer(Service):
    """Serves followers while this router itself follows a controller; a source for ``serve_follower``.

    The port is not bound early: a router that is not ready to serve should
    reject followers at once, so that they try the next one.

    Attributes
    ----------
    write_timeout: the longest time that a follower may accept no byte, or that it may take to subscribe.
    followers: the node name of each follower by its connection.
    server: the listening server; None before the start, or if the port is in use.
    """

    def __init__(self, state: RouterState, feed_client: FeedClient) -> None:
        super().__init__()
        contact_bound = state.settings.bounds.contact
        self.router_state = state
        self.feed_client = feed_client
        self.write_timeout = contact_bound / WRITE_TIMEOUT_DIVISOR
        self.server: FrameServer | None = None
        self.followers: dict[Frames, str] = {}
        self._heartbeat_interval = contact_bound / HEARTBEAT_DIVISOR * HEARTBEAT_INTERVAL_FACTOR

    @property
    def store(self) -> VersionedStore:
        """The state that is served, which is this router's own."""
        return self.feed_client.store

    @property
    def change_signal(self) -> ChangeSignal:
        """Notified of changes and of each heartbeat from the source that this router follows."""
        return self.feed_client.change_signal

    async def on_start(self) -> None:
        """Listens for followers; if the port is in use, this router serves none."""
        settings = self.router_state.settings
        address = Address(settings.ip, settings.router_port)
        try:
            listen_socket = bind(address)
        except OSError:
            return
        maximum_connections = settings.limits.connections(FOLLOWER_CONNECTION_FRACTION)
        self.server = FrameServer(self._on_connection, maximum_connections, self.write_timeout)
        await self.server.start(listen_socket)

    async def on_stop(self) -> None:
        """Closes the server and all connections."""
        if self.server:
            self.server.close()
        for frames in list(self.followers):
            frames.close()

    def is_open(self) -> bool:
        """Whether followers are served."""
        return self.feed_client.upstream.can_serve() and not self.should_stop

    def heartbeat_interval(self) -> timedelta:
        """Returns the interval of this relay's own heartbeats, which it sends when none arrives from its source."""
        return self._heartbeat_interval

    def newest_configuration(self) -> tuple[int, int]:
        """Returns the newest configuration version that this router has or that a heartbeat has announced."""
        return self.feed_client.newest_configuration()

    def confirmation_age_ms(self) -> int:
        """Returns the milliseconds since the last known confirmation of the primary; grows during a partition."""
        age = self._last_confirmed_age_ms()
        return UNCONFIRMED if age is None else min(UNCONFIRMED - 1, age)

    def _last_confirmed_age_ms(self) -> int | None:
        age = self.feed_client.upstream.tracker.last_confirmed_age(monotonic())
        return None if age is None else int(age / MS)

    async def _on_connection(self, frames: Frames, first: Record) -> None:
        if not isinstance(first, Subscribe) or not self._accepts_followers():
            return
        self.followers[frames] = first.node
        try:
            await serve_follower(frames, first.versions, self)
        finally:
            self.followers.pop(frames, None)

    def _accepts_followers(self) -> bool:
        return self.is_open() and len(self.followers) < self.feed_client.upstream.follower_limit()

    def status(self) -> dict[str, Any]:
        """Returns this router's position in the relay tier, for the beliefs endpoint (a JSON object)."""
        upstream = self.feed_client.upstream
        return {
            "follows": upstream.parent,
            "depth": upstream.depth,
            "ageMs": self._last_confirmed_age_ms(),
            "relay": upstream.tier.is_relay,
            "followers": sorted(self.followers.values()),
        }
