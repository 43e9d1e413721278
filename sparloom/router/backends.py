"""The runners as this router knows them: a new table after each change, of ``Backend`` objects that go on."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta
from hashlib import blake2b
from typing import TYPE_CHECKING, cast

import aiohttp
from attrs import define, field

from sparloom.discovery import service_of
from sparloom.load_balancing import CachedPrefixes
from sparloom.metrics import count_event
from sparloom.transport import tune
from sparloom.transport.http_client import Connector, open_session

from .cold_rate import ColdSends
from .target import RawTargetRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from sparloom.configuration.rollouts import ServiceVersions
    from sparloom.discovery import Endpoint

NOT_SUSPECTED = timedelta(0)
NEVER = timedelta(0)
# Runners of a zone that is taken back count as cold for so long: by then a list that was made afterwards tells.
RETURN_TIME = timedelta(seconds=4)
# Of failures in a row so many lengthen the suspicion; each doubles it.
MAXIMUM_STRIKES = 4
# Seconds for which an unused connection is kept where the runner says nothing.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# An unused connection is closed after this part of the time that the runner keeps it.
KEEP_ALIVE_PART = 0.7
MINIMUM_IDLE_TIMEOUT_S = 0.05


def number(id: str) -> int:
    """A runner's number in the gossip: 64 bits of a hash of its id.

    >>> 0 <= number("i-1") < 1 << 64
    True
    """
    return int.from_bytes(blake2b(id.encode(), digest_size=8).digest())


def _open_socket(address: tuple[int, int, int, str, tuple[str, int]]) -> socket.socket:
    """A socket for a connection to a runner; ``address``: an entry of ``getaddrinfo``."""
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    tune(sock)
    count_event("opened runner")
    return sock


@define(slots=True, eq=False)
class Backend:
    """One instance of a runner, with its connections and what was learned from traffic.

    Attributes
    ----------
    id, address, zone, slots, draining: as the endpoint list has them.
    service: the service that it belongs to.
    pool: the runners of the service that run the same version.
    warming_up: whether it has started a short time ago (slow start).
    evacuated: whether its zone is evacuated.
    returned_at: when its zone was taken back; ``NEVER`` if it was not evacuated.
    stays_at: when it was last seen not to be leaving, by an answer; ``NEVER`` if it wasn't, or said that it leaves.
    cold_sends: what was sent to it while it was cold.
    number: the 64-bit number of its id in the gossip.
    cached: the prompt prefixes that it is believed to have cached.
    client_session: the open connections; made when first needed.
    suspected_until: until then it is avoided (monotonic clock).
    strikes: failures in a row, four at most.
    absent_until: until then it is taken not to be at its address: no connection opened, or another instance answered.
    unresponsive_calls: calls here that have passed their timeout without a sign of life.
    open_calls: calls in hand here.
    delisted: whether it has left the endpoint list; its connections are closed once no call needs them.
    idle_timeout: seconds for which an unused connection is kept.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warming_up: bool
    number: int
    cached: CachedPrefixes
    client_session: aiohttp.ClientSession | None = None
    suspected_until: timedelta = NOT_SUSPECTED
    strikes: int = 0
    absent_until: timedelta = NOT_SUSPECTED
    unresponsive_calls: int = 0
    open_calls: int = 0
    idle_timeout: float = DEFAULT_IDLE_TIMEOUT_S
    evacuated: bool = False
    returned_at: timedelta = NEVER
    stays_at: timedelta = NEVER
    cold_sends: ColdSends = field(factory=ColdSends)
    pool: str = ""
    delisted: bool = False
    _closing: asyncio.Task[None] | None = None

    def is_cold(self, now: timedelta) -> bool:
        """Whether it is warming up, or may be: it may have become cold shortly before its zone was taken back.

        >>> backend = Backend("i", "s", "h:1", "z", 1, False, False, 0, None)
        >>> backend.is_cold(timedelta(seconds=9))
        False
        >>> backend.note_evacuation(True, timedelta(seconds=8)); backend.note_evacuation(False, timedelta(seconds=9))
        >>> backend.is_cold(timedelta(seconds=10)), backend.is_cold(timedelta(seconds=14))
        (True, False)
        """
        return self.warming_up or (self.returned_at != NEVER and now < self.returned_at + RETURN_TIME)

    def note_answer(self, asked_at: timedelta, closes: bool) -> None:
        """Notes an answer to a request that was sent at ``asked_at``; a runner that leaves says that it ``closes``."""
        self.stays_at = NEVER if closes else max(self.stays_at, asked_at)

    def has_stayed(self, now: timedelta, within: timedelta) -> bool:
        """Whether an answer has shown, no longer ago than ``within``, that it isn't leaving.

        >>> backend, second = Backend("i", "s", "h:1", "z", 1, False, False, 0, None), timedelta(seconds=1)
        >>> backend.note_answer(5 * second, False)
        >>> backend.has_stayed(7 * second, 3 * second), backend.has_stayed(9 * second, 3 * second)
        (True, False)
        """
        return self.stays_at != NEVER and now - self.stays_at < within

    def note_evacuation(self, evacuated: bool, now: timedelta) -> None:
        """Notes whether its zone is evacuated now."""
        if self.evacuated and not evacuated:
            self.returned_at = now
        self.evacuated = evacuated

    def is_suspected(self, now: timedelta) -> bool:
        """Whether traffic says to avoid it for now.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).is_suspected(timedelta(seconds=1))
        False
        """
        return now < self.suspected_until

    def record_failure(self, now: timedelta, duration: timedelta) -> None:
        """An attempt failed here: avoid it for ``duration``, twice as long after each further failure in a row."""
        self.strikes = min(self.strikes + 1, MAXIMUM_STRIKES)
        self.suspected_until = max(self.suspected_until, now + duration * 2 ** (self.strikes - 1))

    def record_absence(self, now: timedelta, duration: timedelta) -> None:
        """No connection to it opened, or another instance answered at its address."""
        self.absent_until = now + duration

    def forget_absence(self) -> None:
        """Its whole zone was out of reach and is back: that no connection opened says nothing about it."""
        self.absent_until = NOT_SUSPECTED

    def is_absent(self, now: timedelta) -> bool:
        """Whether it seems not to be at its address.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).is_absent(timedelta(seconds=1))
        False
        """
        return now < self.absent_until

    def record_success(self) -> None:
        """It answered: earlier failures no longer count."""
        self.absent_until = NOT_SUSPECTED
        self.strikes = 0
        self.suspected_until = NOT_SUSPECTED

    def begin_call(self) -> None:
        """A call is sent here."""
        self.open_calls += 1

    def end_call(self) -> None:
        """A call has ended, and its connection was released."""
        self.open_calls -= 1
        self._close_if_unused()

    def delist(self) -> None:
        """It has left the endpoint list: no further call comes."""
        self.delisted = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        session = self.client_session
        if self.delisted and not self.open_calls and session is not None and not session.closed:
            self._closing = asyncio.get_running_loop().create_task(session.close())

    def session(self) -> aiohttp.ClientSession:
        """The session that holds the connections to this instance."""
        if self.client_session is None or self.client_session.closed:
            connector = Connector(
                limit=0,
                ttl_dns_cache=None,
                keepalive_timeout=self.idle_timeout,
                socket_factory=_open_socket,
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

    def has_idle_connection(self) -> bool:
        """Whether an open connection waits unused: no new one is needed.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).has_idle_connection()
        False
        """
        session = self.client_session
        if session is None or session.closed:
            return False
        idle: bool = cast(Connector, session.connector).has_idle()
        return idle

    def apply_keep_alive(self, header: str) -> None:
        """Follows the runner's ``Keep-Alive`` header: unused connections are closed before the runner does so."""
        for item in header.split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_timeout = max(MINIMUM_IDLE_TIMEOUT_S, int(value) * KEEP_ALIVE_PART)
                if self.client_session:
                    cast(Connector, self.client_session.connector).keep_idle(self.idle_timeout)


def _new_backend(endpoint: Endpoint, cache_tokens: int) -> Backend:
    return Backend(
        endpoint.id,
        service_of(endpoint.service),
        endpoint.address,
        endpoint.zone,
        endpoint.slots,
        endpoint.draining,
        bool(endpoint.cold),
        number(endpoint.id),
        CachedPrefixes(cache_tokens),
    )


@define(frozen=True, slots=True)
class BackendTable:
    """All backends, by id, by service and by number.

    Attributes
    ----------
    by_id: each backend.
    services: for each service the backends that take new requests: those that drain or whose zone is evacuated don't,
        nor those of a version that doesn't serve.
    trials: for each service with a roll-out under way the backends of the new version that take new requests.
    connected: for each service the backends of both.
    ids_by_number: backend ids by their number in the gossip.

    >>> BackendTable().of("s"), BackendTable().on_trial("s")
    ((), ())
    """

    by_id: dict[str, Backend] = field(factory=dict)
    services: dict[str, tuple[Backend, ...]] = field(factory=dict)
    ids_by_number: dict[int, str] = field(factory=dict)
    trials: dict[str, tuple[Backend, ...]] = field(factory=dict)
    connected: dict[str, tuple[Backend, ...]] = field(factory=dict)

    def of(self, service: str) -> tuple[Backend, ...]:
        """The backends of a service that take new requests."""
        return self.services.get(service, ())

    def on_trial(self, service: str) -> tuple[Backend, ...]:
        """The backends of the version that is on trial, which may be sent a part of the service's requests."""
        return self.trials.get(service, ())

    def connected_to(self, service: str) -> tuple[Backend, ...]:
        """The backends of a service that requests may be sent to, on trial or not."""
        return self.connected.get(service, ())

    def renew(
        self,
        endpoints: Iterable[Endpoint],
        cache_tokens: Callable[[str], int],
        evacuated_zones: Collection[str] = (),
        now: timedelta = NEVER,
        versions: Mapping[str, ServiceVersions] | None = None,
    ) -> BackendTable:
        """The next snapshot; instances that go on keep what was learned of them.

        ``cache_tokens(service)``: how many tokens a backend of a service caches.
        ``evacuated_zones``: whose backends take no new requests; ``now`` is when that is so.
        ``versions``: which pools of a service serve, and which is on trial, where it has had a roll-out.
        """
        by_id: dict[str, Backend] = {}
        for endpoint in endpoints:
            service = service_of(endpoint.service)
            tokens = cache_tokens(service)
            backend = self.by_id.get(endpoint.id)
            if backend is None or (backend.address, backend.service) != (endpoint.address, service):
                backend = _new_backend(endpoint, tokens)
            backend.pool = endpoint.service
            backend.draining = endpoint.draining
            backend.warming_up = bool(endpoint.cold)
            backend.slots = endpoint.slots
            backend.note_evacuation(endpoint.zone in evacuated_zones, now)
            backend.cached.capacity = tokens
            by_id[endpoint.id] = backend
        for backend in self.by_id.values():
            if by_id.get(backend.id) is not backend:
                backend.delist()
        return _table(by_id, versions or {})


def _table(by_id: dict[str, Backend], versions: Mapping[str, ServiceVersions]) -> BackendTable:
    """The table of some backends."""
    taking: dict[str, list[Backend]] = {backend.service: [] for backend in by_id.values()}
    for backend in by_id.values():
        if not backend.draining and not backend.evacuated:
            taking[backend.service].append(backend)
    services, trials, connected = {}, {}, {}
    for name, backends in taking.items():
        found = versions.get(name)
        services[name] = connected[name] = _serving(backends, name, found)
        if found is not None and found.trial is not None:
            trials[name] = _in_pools(backends, (found.trial.pool,))
            connected[name] = tuple({backend.id: backend for backend in services[name] + trials[name]}.values())
    return BackendTable(by_id, services, {backend.number: backend.id for backend in by_id.values()}, trials, connected)


def _serving(backends: list[Backend], service: str, versions: ServiceVersions | None) -> tuple[Backend, ...]:
    """The backends of versions that serve; while none of them is listed, of those that served before."""
    if versions is None:
        return _in_pools(backends, (service,))
    return _in_pools(backends, versions.pools) or _in_pools(backends, versions.base)


def _in_pools(backends: list[Backend], pools: Collection[str]) -> tuple[Backend, ...]:
    return tuple(backend for backend in backends if backend.pool in pools)
