"""The runners as this router knows them: a snapshot, swapped whole."""
import socket
from datetime import timedelta
from hashlib import blake2b
from statistics import median_low
from time import monotonic

import aiohttp
from attrs import define, field

from sparloom.choice import Kept
from sparloom.health import EJECTED, TRIAL, WELL, Rest
from sparloom.link import tune
from sparloom.meter import note

from .pool import Pool, Response
from .target import Request

NONE = timedelta(0)


def number(id):
    """A runner's number in the gossip.

    >>> 0 <= number("i-1") < 1 << 64
    True
    """
    return int.from_bytes(blake2b(id.encode(), digest_size=8).digest())


def all_of(service):
    """The name under which outcomes at a whole service are told.

    >>> all_of("s")
    'service s'
    """
    return f"service {service}"


def _socket(info):
    sock = socket.socket(info[0], info[1], info[2])
    sock.setblocking(False)
    tune(sock)
    note("opened runner")
    return sock


@define(slots=True, eq=False)
class Post:
    """One life of a runner, with its pipes and what was learned from traffic."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold: bool
    number: int
    kept: Kept
    session: object = None
    doubt_till: timedelta = NONE
    strikes: int = 0
    silent: int = 0
    gone: bool = False
    open: int = 0
    rest: Rest = field(factory=Rest)
    standing: int = WELL

    def doubted(self, now):
        """Whether traffic says to avoid it for now.

        >>> Post("i", "s", "h:1", "z", 1, False, False, 0, None).doubted(timedelta(seconds=1))
        False
        """
        return now < self.doubt_till

    @property
    def out(self):
        """Whether the sums of all nodes speak against it (ejected, or on trial).

        >>> Post("i", "s", "h:1", "z", 1, False, False, 0, None).out
        False
        """
        return self.standing in (EJECTED, TRIAL)

    def strike(self, now, span):
        """A dispatch failed here: avoid it, longer each time."""
        self.strikes = min(self.strikes + 1, 4)
        self.doubt_till = max(self.doubt_till, now + span * 2 ** (self.strikes - 1))

    def clear(self):
        """It answered: nothing is held against it."""
        self.strikes, self.doubt_till = 0, NONE

    def pipes(self):
        """The session that holds the pipes to this life of the runner."""
        if self.session is None or self.session.closed:
            con = Pool(self.rest, limit=0, ttl_dns_cache=None, socket_factory=_socket, enable_cleanup_closed=False)
            self.session = aiohttp.ClientSession(
                connector=con, request_class=Request, response_class=Response, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=None), skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            )
            self.session._retry_connection = False
        return self.session

    def warm(self, careful=False):
        """Whether an open connection waits that may be used: no new one is needed.

        >>> Post("i", "s", "h:1", "z", 1, False, False, 0, None).warm()
        False
        """
        return self.session is not None and not self.session.closed and self.session.connector.warm(careful)

    def heed(self, text):
        """Takes the runner's ``Keep-Alive`` to heart: connections are not used past it."""
        for item in text.split(","):
            k, _, v = item.strip().partition("=")
            if k.lower() == "timeout" and v.isdigit():
                self.rest.told(int(v))


@define(frozen=True, slots=True)
class Fleet:
    """All runners, by service and by number.

    >>> Fleet().of("s")
    ()
    """

    posts: dict = field(factory=dict)
    services: dict = field(factory=dict)
    numbers: dict = field(factory=dict)

    def of(self, service):
        """The runners of a service that take new asks."""
        return self.services.get(service, ())

    def _rest(self, service):
        """What a new life starts from: the median of what the others of its service taught."""
        now = monotonic()
        known = {p.rest.limit(now): p.rest for p in self.posts.values() if p.service == service and p.rest.heard}
        return known[median_low(known)].heir(now) if known else Rest()

    def renew(self, runners, room):
        """The next snapshot; lives that go on keep what was learned of them.

        ``room(service)`` tells how many tokens a runner keeps.
        """
        posts = {}
        for r in runners:
            old = self.posts.get(r.id)
            if old is None or (old.address, old.service) != (r.address, r.service):
                old = Post(r.id, r.service, r.address, r.zone, r.slots, r.draining, bool(r.cold), number(r.id), Kept(room(r.service)), rest=self._rest(r.service))
            old.draining, old.cold, old.slots = r.draining, bool(r.cold), r.slots
            old.kept.room = room(r.service)
            posts[r.id] = old
        for p in self.posts.values():
            p.gone = posts.get(p.id) is not p
        names = {p.service for p in posts.values()}
        return Fleet(
            posts, {s: tuple(p for p in posts.values() if p.service == s and not p.draining) for s in names},
            {p.number: p.id for p in posts.values()} | {number(all_of(s)): all_of(s) for s in names},
        )
