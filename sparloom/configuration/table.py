"""The policy as routers use it: an immutable snapshot, swapped whole."""

from datetime import timedelta

from attrs import define, field


@define(frozen=True, slots=True)
class Service:
    """A service and what its runners take."""

    name: str
    connection_limit: int = 64
    slots: int = 0
    cache_tokens: int = 0
    health_path: str = ""


@define(frozen=True, slots=True)
class Route:
    """A route, with its durations as timedeltas."""

    name: str
    host: str
    prefix: str
    kind: str
    split: tuple
    timeout: timedelta
    target: timedelta
    gap_target: timedelta
    priority: int = 5
    max_attempts: int = 1
    resume: bool = False
    sticky: bool = False

    @property
    def repeatable(self):
        """Whether an ask may run more than once.

        >>> Route("r", "h", "/", "unsafe", (), timedelta(1), timedelta(1), timedelta(1)).repeatable
        False
        """
        return self.kind == "safe" or (self.kind == "streaming" and self.resume)


@define(frozen=True, slots=True)
class RequestLimits:
    """What a requester may send."""

    maximum_header_bytes: int = 16384
    maximum_body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@define(frozen=True, slots=True)
class Configuration:
    """One revision of the policy."""

    revision: int
    routes: tuple
    services: dict
    limits: RequestLimits
    hosts: dict = field(repr=False, factory=dict)

    def match(self, host, path):
        """The route of that host with the longest prefix that begins the path, or None.

        >>> build({"revision": 1}).match("h", "/") is None
        True
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        return next((r for r in self.hosts.get(name.lower(), ()) if path.startswith(r.prefix)), None)


def _ms(d, key, default):
    return timedelta(milliseconds=d.get(key, default))


def _route(d):
    timeout = d.get("timeoutMs", 30000)
    target = d.get("targetMs") or timeout / 4
    split = (
        ((d["service"], 1.0),)
        if "service" in d
        else tuple((w["service"], float(w["weight"])) for w in d["weightedServices"])
    )
    return Route(
        d["name"],
        d["hostname"].lower(),
        d["pathPrefix"],
        d["routeKind"],
        split,
        timedelta(milliseconds=timeout),
        timedelta(milliseconds=target),
        _ms(d, "gapTargetMs", target / 2),
        d.get("priority", 5),
        d.get("maxAttempts", 1),
        d.get("resumeStreams", False),
        d.get("stickySessions", False),
    )


def _service(d):
    eng = d.get("engine") or {}
    return Service(
        d["name"],
        d.get("connectionLimit", 64),
        int(eng.get("slots") or 0),
        int(eng.get("cacheTokens") or 0),
        d.get("healthPath", ""),
    )


def build(d):
    """Turns a checked policy into a snapshot.

    >>> build({"revision": 3, "routes": [], "services": []}).revision
    3
    """
    std, lim = RequestLimits(), d.get("limits", {})
    rs = tuple(map(_route, d.get("routes", [])))
    hosts = {h: [] for h in {r.host for r in rs}}
    for r in sorted(rs, key=lambda r: -len(r.prefix)):
        hosts[r.host].append(r)
    return Configuration(
        d["revision"],
        rs,
        {s["name"]: _service(s) for s in d.get("services", [])},
        RequestLimits(
            lim.get("maxHeaderBytes", std.maximum_header_bytes),
            lim.get("maxBodyBytes", std.maximum_body_bytes),
            _ms(lim, "headerTimeoutMs", 3000),
            _ms(lim, "idleTimeoutMs", 15000),
        ),
        {h: tuple(v) for h, v in hosts.items()},
    )
