"""The configuration as routers use it: an immutable snapshot, replaced atomically with each revision."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from attrs import define, field

from .additions import RATE_HOLDERS, ROLLOUTS, evacuated_zones

if TYPE_CHECKING:
    from .check import ConfigurationDocument
    from .rate_holders import RateHolders
    from .rollouts import ServiceVersions
    from .tenants import TenantKeys

DEFAULT_TIMEOUT_MS = 30000
DEFAULT_PRIORITY = 5
DEFAULT_CONNECTION_LIMIT = 64
SUPPORTED_PROTOCOL = "h1"
# Default latency target of a route, as a fraction of its timeout.
DEFAULT_TARGET_RATIO = 1 / 4


@define(frozen=True, slots=True)
class Scaling:
    """Limits on the number of a service's runners that may be ordered per zone.

    Attributes
    ----------
    minimum, maximum
        The limits per zone.
    boot_time
        Time from the order of a runner until it serves requests.
    """

    minimum: int
    maximum: int
    boot_time: timedelta


@define(frozen=True, slots=True)
class Service:
    """A service and the capacity of each of its runners.

    Attributes
    ----------
    name
        Its name in the configuration and in the endpoint list.
    connection_limit
        Maximum number of connections to a runner.
    slots
        Requests that a runner processes concurrently; 0 if not configured.
    cache_tokens
        Capacity of a runner's prefix cache in tokens; 0 if not configured.
    health_path
        ``healthPath`` of the configuration; not used, since routers don't probe runners.
    cold_rate
        Requests per second that a cold runner can serve; 0 if not configured.
    supported
        Whether its runners use the only supported protocol, HTTP/1.1 without TLS.
    scaling
        Limits on its number of runners; None if the controller doesn't order their number.
    """

    name: str
    connection_limit: int = DEFAULT_CONNECTION_LIMIT
    slots: int = 0
    cache_tokens: int = 0
    health_path: str = ""
    cold_rate: float = 0.0
    supported: bool = True
    scaling: Scaling | None = None


@define(frozen=True, slots=True)
class Route:
    """How requests with a given host and path prefix are handled.

    Attributes
    ----------
    name
        Its name in the configuration.
    host
        Host name in lower case.
    prefix
        Path prefix; begins and ends with a slash.
    kind
        ``safe``, ``unsafe`` or ``streaming``.
    weighted_services
        (service, weight) of each service that serves the route.
    timeout
        Time limit from the arrival of a request to the end of its response.
    target
        Latency target of the first byte of the response.
    gap_target
        Latency target between two chunks of a stream.
    priority
        Priority of the requests; a lower number is more important.
    max_attempts
        Maximum number of attempts, including the first one.
    resume
        Whether an interrupted stream is resumed on another runner.
    sticky
        ``stickySessions`` of the configuration; not used.
    public
        Whether a request needs no tenant's key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    weighted_services: tuple[tuple[str, float], ...]
    timeout: timedelta
    target: timedelta
    gap_target: timedelta
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = 1
    resume: bool = False
    sticky: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once (is idempotent).

        Examples
        --------
        >>> second = timedelta(seconds=1)
        >>> Route("r", "h", "/", "unsafe", (), second, second, second).repeatable
        False
        """
        return self.kind == "safe" or (self.kind == "streaming" and self.resume)


@define(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests of clients.

    Attributes
    ----------
    maximum_header_bytes, maximum_body_bytes
        Maximum size of all headers together, and of the body.
    header_timeout
        ``headerTimeoutMs`` of the configuration; not enforced yet.
    idle_timeout
        Time limit for receiving the entire body. Also the keep-alive timeout
        of a connection between requests, which is at least 75 s.
    """

    maximum_header_bytes: int = 16384
    maximum_body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@define(frozen=True, slots=True)
class Configuration:
    """One revision of the configuration.

    Attributes
    ----------
    revision
        The revision number that the operators assign; it only increases.
    routes
        All routes, in the order of the document.
    services
        Services by name.
    limits
        Limits on the requests of clients.
    hosts
        The routes of each host, sorted by prefix length, longest first.
    evacuated_zones
        Zones whose runners get no requests.
    tenants
        The tenants by their keys; None if requests need no key.
    versions
        The versions of each service that has had a roll-out, by service name.
    rate_holders
        The routers that share rates that can't be split evenly; None until the primary has decided.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    hosts: dict[str, tuple[Route, ...]] = field(repr=False, factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    tenants: TenantKeys | None = None
    versions: dict[str, ServiceVersions] = field(factory=dict)
    rate_holders: RateHolders | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest match of the path, or None.

        Parameters
        ----------
        host
            Host name in any case, with or without a port.
        path
            The request path.

        Examples
        --------
        >>> build({"revision": 1}).match("h", "/") is None
        True
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        return next((route for route in self.hosts.get(name.lower(), ()) if path.startswith(route.prefix)), None)


def _duration(item: dict[str, Any], key: str, default: timedelta) -> timedelta:
    return timedelta(milliseconds=item[key]) if key in item else default


def _parse_split(item: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    if "service" in item:
        return ((item["service"], 1.0),)
    return tuple((entry["service"], float(entry["weight"])) for entry in item["weightedServices"])


def _parse_route(item: dict[str, Any]) -> Route:
    timeout = item.get("timeoutMs", DEFAULT_TIMEOUT_MS)
    # A target of 0 means that none is configured.
    target = item.get("targetMs") or timeout * DEFAULT_TARGET_RATIO
    return Route(
        name=item["name"],
        host=item["hostname"].lower(),
        prefix=item["pathPrefix"],
        kind=item["routeKind"],
        weighted_services=_parse_split(item),
        timeout=timedelta(milliseconds=timeout),
        target=timedelta(milliseconds=target),
        gap_target=timedelta(milliseconds=item.get("gapTargetMs", target / 2)),
        priority=item.get("priority", DEFAULT_PRIORITY),
        max_attempts=item.get("maxAttempts", 1),
        resume=item.get("resumeStreams", False),
        sticky=item.get("stickySessions", False),
        public=item.get("public", False) is True,
    )


def _parse_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine") or {}
    return Service(
        name=item["name"],
        connection_limit=item.get("connectionLimit", DEFAULT_CONNECTION_LIMIT),
        slots=int(engine.get("slots") or 0),
        cache_tokens=int(engine.get("cacheTokens") or 0),
        health_path=item.get("healthPath", ""),
        cold_rate=float(item.get("coldPerS") or 0),
        supported=item.get("protocol", SUPPORTED_PROTOCOL) == SUPPORTED_PROTOCOL and not item.get("tls", False),
        scaling=_parse_scaling(item.get("scaling")),
    )


def _parse_scaling(item: dict[str, Any] | None) -> Scaling | None:
    if item is None:
        return None
    return Scaling(item["minimum"], item["maximum"], timedelta(seconds=item.get("bootTimeS", 0)))


def _parse_request_limits(item: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        maximum_header_bytes=item.get("maxHeaderBytes", default.maximum_header_bytes),
        maximum_body_bytes=item.get("maxBodyBytes", default.maximum_body_bytes),
        header_timeout=_duration(item, "headerTimeoutMs", default.header_timeout),
        idle_timeout=_duration(item, "idleTimeoutMs", default.idle_timeout),
    )


def _parse_tenant_keys(document: ConfigurationDocument) -> TenantKeys | None:
    if "tenants" not in document:
        return None
    # Imported here to save startup time and memory in routers without tenants.
    from .tenants import TenantKeys

    return TenantKeys.of(document["tenants"])


def _parse_versions(document: ConfigurationDocument) -> dict[str, ServiceVersions]:
    if ROLLOUTS not in document:
        return {}
    # Imported here to save startup time and memory in routers without roll-outs.
    from .rollouts import service_versions

    return service_versions(document)


def _group_by_host(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, sorted by prefix length, longest first."""
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(group) for host, group in hosts.items()}


def _parse_rate_holders(document: ConfigurationDocument) -> RateHolders | None:
    if not document.get(RATE_HOLDERS):
        return None
    # Imported here to save startup time and memory in deployments without cold rates.
    from .rate_holders import RateHolders

    return RateHolders.from_json(document[RATE_HOLDERS])


def build(document: ConfigurationDocument) -> Configuration:
    """Return the snapshot of a configuration document that ``check`` has accepted.

    Examples
    --------
    >>> build({"revision": 3, "routes": [], "services": []}).revision
    3
    """
    routes = tuple(map(_parse_route, document.get("routes", [])))
    return Configuration(
        revision=document["revision"],
        routes=routes,
        services={item["name"]: _parse_service(item) for item in document.get("services", [])},
        limits=_parse_request_limits(document.get("limits", {})),
        hosts=_group_by_host(routes),
        evacuated_zones=evacuated_zones(document),
        tenants=_parse_tenant_keys(document),
        versions=_parse_versions(document),
        rate_holders=_parse_rate_holders(document),
    )
