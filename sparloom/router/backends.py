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
    cold: bool
    number: int
    kept: CachedPrefixes
    session: object = None
    doubt_till: timedelta = NONE
    strikes: int = 0
    silent: int = 0
    gone: bool = False
    open: int = 0
    rest: float = 4.0

    def doubted(self, now):
        """Whether traffic says to avoid it for now.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).doubted(timedelta(seconds=1))
        False
        """
        return now < self.doubt_till

    def strike(self, now, span):
        """An attempt failed here: avoid it, longer each time."""
        self.strikes = min(self.strikes + 1, 4)
        self.doubt_till = max(self.doubt_till, now + span * 2 ** (self.strikes - 1))

    def clear(self):
        """It answered: nothing is held against it."""
        self.strikes, self.doubt_till = 0, NONE

    def pipes(self):
        """The session that holds the pipes to this life of the runner."""
        if self.session is None or self.session.closed:
            connector = Connector(
                limit=0,
                ttl_dns_cache=None,
                keepalive_timeout=self.rest,
                socket_factory=_socket,
                enable_cleanup_closed=False,
            )
            self.session = open_session(
                connector,
                request_class=RawTargetRequest,
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=None),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            )
        return self.session

    def warm(self):
        """Whether an open connection waits unused: no new one is needed.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).warm()
        False
        """
        return self.session is not None and not self.session.closed and self.session.connector.has_idle()

    def heed(self, text):
        """Takes the runner's ``Keep-Alive`` to heart: pipes are given up before it does so."""
        for item in text.split(","):
            k, _, v = item.strip().partition("=")
            if k.lower() == "timeout" and v.isdigit():
                self.rest = max(0.05, int(v) * 0.7)
                if self.session:
                    self.session.connector.keep_idle(self.rest)


@define(frozen=True, slots=True)
class BackendTable:
    """All runners, by service and by number.

    >>> BackendTable().of("s")
    ()
    """

    posts: dict = field(factory=dict)
    services: dict = field(factory=dict)
    numbers: dict = field(factory=dict)

    def of(self, service):
        """The runners of a service that take new asks."""
        return self.services.get(service, ())

    def renew(self, runners, room):
        """The next snapshot; lives that go on keep what was learned of them.

        ``room(service)`` tells how many tokens a runner keeps.
        """
        posts = {}
        for r in runners:
            old = self.posts.get(r.id)
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
            old.draining, old.cold, old.slots = r.draining, bool(r.cold), r.slots
            old.kept.capacity = room(r.service)
            posts[r.id] = old
        for p in self.posts.values():
            p.gone = posts.get(p.id) is not p
        names = {p.service for p in posts.values()}
        return BackendTable(
            posts,
            {s: tuple(p for p in posts.values() if p.service == s and not p.draining) for s in names},
            {p.number: p.id for p in posts.values()},
        )
