"""The runners known to this router.

``Backend`` is one runner instance with its connections and its health as
observed from traffic. ``BackendTable`` is an immutable snapshot of all
backends; a new table after a change reuses the ``Backend`` objects.
"""

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
from sparloom.load_balancing.cached_prefixes import parts_per_runner
from sparloom.metrics import count_event
from sparloom.transport import set_tcp_options
from sparloom.transport.http_client import Connector, open_session

from .cold_rate import ColdSends
from .target import RawTargetRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from sparloom.configuration.rollouts import ServiceVersions
    from sparloom.discovery import Endpoint

NOT_SUSPECTED = timedelta(0)
NEVER = timedelta(0)
# How long backends count as cold after the evacuation of their zone ends. After that time the endpoint list shows
# which of them are cold.
COLD_AFTER_EVACUATION = timedelta(seconds=4)
# The suspicion time doubles with each consecutive failure, up to this number of failures.
MAXIMUM_COUNTED_FAILURES = 4
# Idle timeout of connections to runners that send no Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# The idle timeout of a connection as a fraction of the runner's own keep-alive timeout.
KEEP_ALIVE_FRACTION = 0.7
MINIMUM_IDLE_TIMEOUT_S = 0.05


def backend_number(id: str) -> int:
    """Return the number that identifies a runner in the gossip: a 64-bit hash of its id.

    >>> 0 <= backend_number("i-1") < 1 << 64
    True
    """
    return int.from_bytes(blake2b(id.encode(), digest_size=8).digest())


def _open_socket(address: tuple[int, int, int, str, tuple[str, int]]) -> socket.socket:
    """Open a socket for a connection to a runner; ``address`` is an entry of ``getaddrinfo``."""
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    set_tcp_options(sock)
    count_event("opened runner")
    return sock


@define(slots=True, eq=False)
class Backend:
    """One runner instance, with its connections and its health as observed from traffic.

    All times are on the monotonic clock.

    Attributes
    ----------
    id, address, zone, slots, draining: as in the endpoint list.
    service: the service that it belongs to.
    pool: the name of the group of the service's runners that run the same version.
    warming_up: whether it started recently (slow start).
    evacuated: whether its zone is evacuated.
    restored_at: when the evacuation of its zone ended; ``NEVER`` if there was none.
    confirmed_active_at: when the latest request was sent whose response showed that it isn't shutting down; ``NEVER``
        without such a response, or if the latest response announced a shutdown.
    cold_sends: the requests sent to it while it was cold.
    number: the 64-bit number that identifies it in the gossip.
    cached: the prompt prefixes that it is expected to have cached.
    client_session: holds the open connections; created on first use.
    suspected_until: the time until which it is avoided.
    consecutive_failures: the number of consecutive failures, four at most.
    absent_until: until then the instance is assumed not to be at its address, because a connection failed or another
        instance responded.
    unresponsive_calls: open calls that have passed their timeout without data from the backend.
    open_calls: the number of calls in progress.
    delisted: whether it has left the endpoint list; its connections are closed once no call needs them.
    idle_timeout_s: how long an unused connection stays open, in seconds.
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
    consecutive_failures: int = 0
    absent_until: timedelta = NOT_SUSPECTED
    unresponsive_calls: int = 0
    open_calls: int = 0
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    evacuated: bool = False
    restored_at: timedelta = NEVER
    confirmed_active_at: timedelta = NEVER
    cold_sends: ColdSends = field(factory=ColdSends)
    pool: str = ""
    delisted: bool = False
    _closing: asyncio.Task[None] | None = None

    def is_cold(self, now: timedelta) -> bool:
        """Whether it is or may be warming up: it may have restarted shortly before its zone's evacuation ended.

        >>> backend = Backend("i", "s", "h:1", "z", 1, False, False, 0, None)
        >>> backend.is_cold(timedelta(seconds=9))
        False
        >>> backend.set_evacuated(True, timedelta(seconds=8)); backend.set_evacuated(False, timedelta(seconds=9))
        >>> backend.is_cold(timedelta(seconds=10)), backend.is_cold(timedelta(seconds=14))
        (True, False)
        """
        return self.warming_up or (self.restored_at != NEVER and now < self.restored_at + COLD_AFTER_EVACUATION)

    def record_response(self, sent_at: timedelta, closes: bool) -> None:
        """Record a response to a request sent at ``sent_at``; ``closes``: it announces a shutdown of the runner."""
        self.confirmed_active_at = NEVER if closes else max(self.confirmed_active_at, sent_at)

    def is_confirmed_active(self, now: timedelta, within: timedelta) -> bool:
        """Whether a response to a request sent less than ``within`` ago showed that it isn't shutting down.

        >>> backend, second = Backend("i", "s", "h:1", "z", 1, False, False, 0, None), timedelta(seconds=1)
        >>> backend.record_response(5 * second, False)
        >>> backend.is_confirmed_active(7 * second, 3 * second), backend.is_confirmed_active(9 * second, 3 * second)
        (True, False)
        """
        return self.confirmed_active_at != NEVER and now - self.confirmed_active_at < within

    def set_evacuated(self, evacuated: bool, now: timedelta) -> None:
        """Set whether its zone is evacuated, and record the time at which an evacuation ends."""
        if self.evacuated and not evacuated:
            self.restored_at = now
        self.evacuated = evacuated

    def is_suspected(self, now: timedelta) -> bool:
        """Whether it is avoided because of recent failures.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).is_suspected(timedelta(seconds=1))
        False
        """
        return now < self.suspected_until

    def record_failure(self, now: timedelta, duration: timedelta) -> None:
        """Avoid it for ``duration`` after a failed attempt; each further consecutive failure doubles the time."""
        self.consecutive_failures = min(self.consecutive_failures + 1, MAXIMUM_COUNTED_FAILURES)
        self.suspected_until = max(self.suspected_until, now + duration * 2 ** (self.consecutive_failures - 1))

    def record_absence(self, now: timedelta, duration: timedelta) -> None:
        """Assume for ``duration`` that it isn't at its address.

        Called when a connection failed to open, or when another instance responded there.
        """
        self.absent_until = now + duration

    def clear_absence(self) -> None:
        """Clear the absence after its whole zone was unreachable, since failed connections then show nothing."""
        self.absent_until = NOT_SUSPECTED

    def is_absent(self, now: timedelta) -> bool:
        """Whether it is assumed not to be at its address.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).is_absent(timedelta(seconds=1))
        False
        """
        return now < self.absent_until

    def record_success(self) -> None:
        """Clear earlier failures after a response."""
        self.absent_until = NOT_SUSPECTED
        self.consecutive_failures = 0
        self.suspected_until = NOT_SUSPECTED

    def begin_call(self) -> None:
        """Count a call that is about to be sent to this backend."""
        self.open_calls += 1

    def end_call(self) -> None:
        """Count the end of a call whose connection was released."""
        self.open_calls -= 1
        self._close_if_unused()

    def delist(self) -> None:
        """Mark it as removed from the endpoint list; it receives no further calls."""
        self.delisted = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        session = self.client_session
        if self.delisted and not self.open_calls and session is not None and not session.closed:
            self._closing = asyncio.get_running_loop().create_task(session.close())

    def session(self) -> aiohttp.ClientSession:
        """Return the session that holds the connections to this instance; create it if needed."""
        if self.client_session is None or self.client_session.closed:
            connector = Connector(
                limit=0,
                ttl_dns_cache=None,
                keepalive_timeout=self.idle_timeout_s,
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
        """Whether an open connection is idle, so that no new one is needed.

        >>> Backend("i", "s", "h:1", "z", 1, False, False, 0, None).has_idle_connection()
        False
        """
        session = self.client_session
        if session is None or session.closed:
            return False
        idle: bool = cast(Connector, session.connector).has_idle()
        return idle

    def apply_keep_alive(self, header: str) -> None:
        """Apply the runner's ``Keep-Alive`` header, so that idle connections are closed before the runner does so."""
        for item in header.split(","):
            name, _, value = item.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_timeout_s = max(MINIMUM_IDLE_TIMEOUT_S, int(value) * KEEP_ALIVE_FRACTION)
                if self.client_session:
                    cast(Connector, self.client_session.connector).set_idle_timeout(self.idle_timeout_s)


def _new_backend(endpoint: Endpoint, cache_tokens: int) -> Backend:
    return Backend(
        endpoint.id,
        service_of(endpoint.service),
        endpoint.address,
        endpoint.zone,
        endpoint.slots,
        endpoint.draining,
        bool(endpoint.cold),
        backend_number(endpoint.id),
        CachedPrefixes(cache_tokens),
    )


@define(frozen=True, slots=True)
class BackendTable:
    """All backends, by id, by service and by number.

    Attributes
    ----------
    by_id: all backends by id.
    services: for each service the backends that take new requests. Draining backends, those of an evacuated zone and
        those of a version that doesn't serve are left out.
    trials: for each service with a rollout in progress, the backends of the new version that take new requests.
    connected: for each service the backends of ``services`` and ``trials``.
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
        """Return the backends of a service that take new requests."""
        return self.services.get(service, ())

    def on_trial(self, service: str) -> tuple[Backend, ...]:
        """Return the backends of the version on trial, which may receive a fraction of the service's requests."""
        return self.trials.get(service, ())

    def connected_to(self, service: str) -> tuple[Backend, ...]:
        """Return all backends of a service that requests may be sent to, on trial or not."""
        return self.connected.get(service, ())

    def updated(
        self,
        endpoints: Iterable[Endpoint],
        cache_tokens: Callable[[str], int],
        evacuated_zones: Collection[str] = (),
        now: timedelta = NEVER,
        versions: Mapping[str, ServiceVersions] | None = None,
    ) -> BackendTable:
        """Return the next snapshot; instances that remain listed keep their ``Backend`` object.

        ``cache_tokens(service)``: how many tokens a backend of a service caches.
        ``evacuated_zones``: zones whose backends take no new requests, as of ``now``.
        ``versions``: for each service that has had a rollout, which pools serve and which is on trial.
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
            backend.set_evacuated(endpoint.zone in evacuated_zones, now)
            backend.cached.capacity = tokens
            by_id[endpoint.id] = backend
        maximum_parts = parts_per_runner(len(by_id))
        for backend in by_id.values():
            backend.cached.maximum_parts = maximum_parts
        for backend in self.by_id.values():
            if by_id.get(backend.id) is not backend:
                backend.delist()
        return _build_table(by_id, versions or {})


def _build_table(by_id: dict[str, Backend], versions: Mapping[str, ServiceVersions]) -> BackendTable:
    """Return the table for the given backends."""
    available: dict[str, list[Backend]] = {backend.service: [] for backend in by_id.values()}
    for backend in by_id.values():
        if not backend.draining and not backend.evacuated:
            available[backend.service].append(backend)
    services, trials, connected = {}, {}, {}
    for name, backends in available.items():
        service_versions = versions.get(name)
        services[name] = connected[name] = _serving_backends(backends, name, service_versions)
        if service_versions is not None and service_versions.trial is not None:
            trials[name] = _backends_in_pools(backends, (service_versions.trial.pool,))
            connected[name] = tuple({backend.id: backend for backend in services[name] + trials[name]}.values())
    return BackendTable(by_id, services, {backend.number: backend.id for backend in by_id.values()}, trials, connected)


def _serving_backends(backends: list[Backend], service: str, versions: ServiceVersions | None) -> tuple[Backend, ...]:
    """Return the backends of the serving versions, or of the previous ones while no serving version is listed."""
    if versions is None:
        return _backends_in_pools(backends, (service,))
    return _backends_in_pools(backends, versions.pools) or _backends_in_pools(backends, versions.base)


def _backends_in_pools(backends: list[Backend], pools: Collection[str]) -> tuple[Backend, ...]:
    return tuple(backend for backend in backends if backend.pool in pools)
