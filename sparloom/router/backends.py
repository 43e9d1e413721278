"""The runners as this router knows them: a snapshot, swapped whole."""

import socket
from datetime import timedelta
from hashlib import blake2b

import aiohttp
from attrs import define, field

from sparloom.load_balancing import CachedPrefixes
from sparloom.metrics import count_event
from sparloom.transport import tune
from sparloom.transport.http_client import Connector, open_session

from .target import RawTargetRequest

NONE = timedelta(0)


def number(id):
    """A runner's number in the gossip.

    >>> 0 <= number("i-1") < 1 << 64
    True
    """
    return int.from_bytes(blake2b(id.encode(), digest_size=8).digest())


def _socket(info):
    sock = socket.socket(info[0], info[1], info[2])
    sock.setblocking(False)
    tune(sock)
    count_event("opened runner")
    return sock


@define(slots=True, eq=False)
class Backend:
    """One life of a runner, with its pipes and what was learned from traffic."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warming_up: bool
    number: int
    cached: CachedPrefixes
    client_session: object = None
    suspected_until: timedelta = NONE
    strikes: int = 0
    unresponsive_calls: int = 0
    departed: bool = False
    open_calls: int = 0
    idle_timeout: float = 4.0

    def is_suspected(self, now):
        """Whether traffic says to avoid it for now.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).is_suspected(timedelta(seconds=1))
        False
        """
        return now < self.suspected_until

    def record_failure(self, now, span):
        """An attempt failed here: avoid it, longer each time."""
        self.strikes = min(self.strikes + 1, 4)
        self.suspected_until = max(self.suspected_until, now + span * 2 ** (self.strikes - 1))

    def record_success(self):
        """It answered: nothing is held against it."""
        self.strikes, self.suspected_until = 0, NONE

    def session(self):
        """The session that holds the pipes to this life of the runner."""
        if self.client_session is None or self.client_session.closed:
            connector = Connector(
                limit=0,
                ttl_dns_cache=None,
                keepalive_timeout=self.idle_timeout,
                socket_factory=_socket,
                enable_cleanup_closed=False,
            )
            self.client_session = open_session(
                connector,
                request_class=RawTargetRequest,
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=None),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            )
        return self.client_session

    def has_idle_connection(self):
        """Whether an open connection waits unused: no new one is needed.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).has_idle_connection()
        False
        """
        return (
            self.client_session is not None
            and not self.client_session.closed
            and self.client_session.connector.has_idle()
        )

    def apply_keep_alive(self, text):
        """Takes the runner's ``Keep-Alive`` to heart: pipes are given up before it does so."""
        for item in text.split(","):
            k, _, v = item.strip().partition("=")
            if k.lower() == "timeout" and v.isdigit():
                self.idle_timeout = max(0.05, int(v) * 0.7)
                if self.client_session:
                    self.client_session.connector.keep_idle(self.idle_timeout)


@define(frozen=True, slots=True)
class BackendTable:
    """All runners, by service and by number.

    >>> BackendTable().of("s")
    ()
    """

    by_id: dict = field(factory=dict)
    services: dict = field(factory=dict)
    ids_by_number: dict = field(factory=dict)

    def of(self, service):
        """The runners of a service that take new asks."""
        return self.services.get(service, ())

    def renew(self, runners, room):
        """The next snapshot; lives that go on keep what was learned of them.

        ``room(service)`` tells how many tokens a runner keeps.
        """
        posts = {}
        for r in runners:
            old = self.by_id.get(r.id)
            if old is None or (old.address, old.service) != (r.address, r.service):
                old = Backend(
                    r.id,
                    r.service,
                    r.address,
                    r.zone,
                    r.slots,
                    r.draining,
                    bool(r.cold),
                    number(r.id),
                    CachedPrefixes(room(r.service)),
                )
            old.draining, old.warming_up, old.slots = r.draining, bool(r.cold), r.slots
            old.cached.capacity = room(r.service)
            posts[r.id] = old
        for p in self.by_id.values():
            p.departed = posts.get(p.id) is not p
        names = {p.service for p in posts.values()}
        return BackendTable(
            posts,
            {s: tuple(p for p in posts.values() if p.service == s and not p.draining) for s in names},
            {p.number: p.id for p in posts.values()},
        )
