"""The configuration as routers use it: an immutable snapshot that is replaced as a whole."""

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
# The latency target of a route without one, as a part of its timeout.
DEFAULT_TARGET_RATIO = 1 / 4


@define(frozen=True, slots=True)
class Scaling:
    """How many runners of a service may be ordered in each zone.

    Attributes
    ----------
    minimum, maximum
        The limits, for each zone.
    boot_time
        From the order of a runner until it serves.
    """

    minimum: int
    maximum: int
    boot_time: timedelta


@define(frozen=True, slots=True)
class Service:
    """A service, and what each of its runners can take.

    Attributes
    ----------
    name
        Its name in the configuration and in the endpoint list.
    connection_limit
        How many connections a runner accepts.
    slots
        Requests that a runner works on at once; 0 where it is not given.
    cache_tokens
        Tokens that a runner's prefix cache holds; 0 where it is not given.
    health_path
        ``healthPath`` of the configuration; kept, but routers don't probe runners.
    cold_rate
        Requests that a cold runner bears each second; 0 where it is not given.
    supported
        Whether its runners speak what this program speaks: HTTP/1.1 without TLS.
    scaling
        How many of its runners may be ordered; None where their number is not ours to order.
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
    """Requests of one host and path prefix, and how they are treated.

    Attributes
    ----------
    name
        Its name in the configuration.
    host
        Host name, in lower case.
    prefix
        Beginning of the path; begins and ends with a slash.
    kind
        ``safe``, ``unsafe`` or ``streaming``.
    split
        (service, weight) of each service that serves the route.
    timeout
        From the arrival of a request to the end of its response.
    target
        Latency target of the first byte.
    gap_target
        Latency target between two parts of a stream.
    priority
        More important requests have the lower number.
    max_attempts
        How often a request may be sent, with the first attempt.
    resume
        Whether an interrupted stream is resumed at another runner.
    sticky
        ``stickySessions`` of the configuration; kept, but nothing depends on it.
    public
        Whether a request needs no tenant's key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    split: tuple[tuple[str, float], ...]
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
        """Whether a request may be carried out more than once (is idempotent).

        Examples
        --------
        >>> second = timedelta(seconds=1)
        >>> Route("r", "h", "/", "unsafe", (), second, second, second).repeatable
        False
        """
        return self.kind == "safe" or (self.kind == "streaming" and self.resume)


@define(frozen=True, slots=True)
class RequestLimits:
    """What a client may send.

    Attributes
    ----------
    maximum_header_bytes, maximum_body_bytes
        The largest size of all headers together, and of the body.
    header_timeout
        ``headerTimeoutMs`` of the configuration; not applied yet.
    idle_timeout
        How long the whole body may take; also how long a connection may rest
        between requests, but there never less than 75 s.
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
        Its number, given by the operator; it only rises.
    routes
        All routes, in the order of the document.
    services
        Services by name.
    limits
        What clients may send.
    hosts
        The routes of each host, the longest prefix first.
    evacuated_zones
        Zones whose runners are to be sent nothing.
    tenants
        The tenants by their keys; None where requests need no key.
    versions
        The services that have had a roll-out, by name.
    rate_holders
        Which routers share what can't be split evenly; None before the primary has decided it.
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
        """The route of a host with the longest prefix that begins the path; None where there is none.

        Parameters
        ----------
        host
            Host name in any case, with or without a port.
        path
            Path of the request.

        Examples
        --------
        >>> build({"revision": 1}).match("h", "/") is None
        True
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        return next((route for route in self.hosts.get(name.lower(), ()) if path.startswith(route.prefix)), None)


def _milliseconds(item: dict[str, Any], key: str, default: timedelta) -> timedelta:
    return timedelta(milliseconds=item[key]) if key in item else default


def _split(item: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    if "service" in item:
        return ((item["service"], 1.0),)
    return tuple((part["service"], float(part["weight"])) for part in item["weightedServices"])


def _route(item: dict[str, Any]) -> Route:
    timeout = item.get("timeoutMs", DEFAULT_TIMEOUT_MS)
    # A target of 0 stands for none.
    target = item.get("targetMs") or timeout * DEFAULT_TARGET_RATIO
    return Route(
        name=item["name"],
        host=item["hostname"].lower(),
        prefix=item["pathPrefix"],
        kind=item["routeKind"],
        split=_split(item),
        timeout=timedelta(milliseconds=timeout),
        target=timedelta(milliseconds=target),
        gap_target=timedelta(milliseconds=item.get("gapTargetMs", target / 2)),
        priority=item.get("priority", DEFAULT_PRIORITY),
        max_attempts=item.get("maxAttempts", 1),
        resume=item.get("resumeStreams", False),
        sticky=item.get("stickySessions", False),
        public=item.get("public", False) is True,
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine") or {}
    return Service(
        name=item["name"],
        connection_limit=item.get("connectionLimit", DEFAULT_CONNECTION_LIMIT),
        slots=int(engine.get("slots") or 0),
        cache_tokens=int(engine.get("cacheTokens") or 0),
        health_path=item.get("healthPath", ""),
        cold_rate=float(item.get("coldPerS") or 0),
        supported=item.get("protocol", SUPPORTED_PROTOCOL) == SUPPORTED_PROTOCOL and not item.get("tls", False),
        scaling=_scaling(item.get("scaling")),
    )


def _scaling(item: dict[str, Any] | None) -> Scaling | None:
    if item is None:
        return None
    return Scaling(item["minimum"], item["maximum"], timedelta(seconds=item.get("bootTimeS", 0)))


def _request_limits(item: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        maximum_header_bytes=item.get("maxHeaderBytes", default.maximum_header_bytes),
        maximum_body_bytes=item.get("maxBodyBytes", default.maximum_body_bytes),
        header_timeout=_milliseconds(item, "headerTimeoutMs", default.header_timeout),
        idle_timeout=_milliseconds(item, "idleTimeoutMs", default.idle_timeout),
    )


def _tenant_keys(document: ConfigurationDocument) -> TenantKeys | None:
    if "tenants" not in document:
        return None
    # Routers without tenants don't spend time and memory of a start on it.
    from .tenants import TenantKeys

    return TenantKeys.of(document["tenants"])


def _versions(document: ConfigurationDocument) -> dict[str, ServiceVersions]:
    if ROLLOUTS not in document:
        return {}
    # Routers without roll-outs don't spend time and memory of a start on it.
    from .rollouts import service_versions

    return service_versions(document)


def _by_host(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """The routes of each host, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in hosts.items()}


def _rate_holders(document: ConfigurationDocument) -> RateHolders | None:
    if not document.get(RATE_HOLDERS):
        return None
    # Deployments without cold rates don't spend time and memory of a start on it.
    from .rate_holders import RateHolders

    return RateHolders.from_json(document[RATE_HOLDERS])


def build(document: ConfigurationDocument) -> Configuration:
    """The snapshot of a configuration document that ``check`` has passed.

    Examples
    --------
    >>> build({"revision": 3, "routes": [], "services": []}).revision
    3
    """
    routes = tuple(map(_route, document.get("routes", [])))
    return Configuration(
        revision=document["revision"],
        routes=routes,
        services={item["name"]: _service(item) for item in document.get("services", [])},
        limits=_request_limits(document.get("limits", {})),
        hosts=_by_host(routes),
        evacuated_zones=evacuated_zones(document),
        tenants=_tenant_keys(document),
        versions=_versions(document),
        rate_holders=_rate_holders(document),
    )
