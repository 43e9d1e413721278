"""Reads the startup file and says in one sentence what is wrong with it."""

import os
import tomllib
from datetime import timedelta
from math import ceil, floor, isfinite

from attrs import define, field
from returns.result import Failure, Result, Success

from sparloom.shares.member import declared

VARIABLE = "SPARLOOM_CONFIG"
DEFAULT = "/etc/sparloom/node.toml"


@define(frozen=True, slots=True)
class Address:
    """A host and a port.

    >>> str(Address("10.0.0.1", 80))
    '10.0.0.1:80'
    """

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


@define(frozen=True, slots=True)
class Listen:
    """Where the process serves; a part that it does not serve is None."""

    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None


@define(frozen=True, slots=True)
class Limits:
    """What the machine grants to this process."""

    memory_mb: int = 256
    descriptors: int = 1024


@define(frozen=True, slots=True)
class Tolerated:
    """What may be lost at once while every promise still holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def copies(self):
        """How many backups a write needs besides its primary.

        >>> Tolerated(machines=1).copies
        1
        """
        return max(self.machines, self.zones, self.regions)


@define(frozen=True, slots=True)
class Bounds:
    """The figures in force; defaults stand where the file names none."""

    contact: timedelta = timedelta(milliseconds=3000)
    acknowledge: timedelta = timedelta(milliseconds=4000)
    drain: timedelta = timedelta(milliseconds=3000)
    grace: timedelta = timedelta(seconds=8)
    config_apply: timedelta = timedelta(milliseconds=2000)
    budget_window: timedelta = timedelta(seconds=10)
    budget_ratio: float = 0.2
    budget_slack: float = 10
    pass_time: timedelta = timedelta(milliseconds=120)
    recovery: timedelta = timedelta(seconds=12)


@define(frozen=True, slots=True)
class CloudApi:
    """Where the platform lists its runners, and how often it may be asked."""

    address: Address
    rate: float = 1.0
    lag: timedelta = timedelta(0)


@define(frozen=True, slots=True)
class Startup:
    """All that a process is told when it starts."""

    node: str
    role: str
    ip: str
    zone: str
    ports: tuple
    seeds: tuple
    listen: Listen
    zones: dict = field(factory=dict)
    first_start: bool = False
    counted: bool = False
    data: str | None = None
    limits: Limits = field(factory=Limits)
    tolerated: Tolerated = field(factory=Tolerated)
    bounds: Bounds = field(factory=Bounds)
    cloud: CloudApi | None = None
    members: tuple = ()

    @property
    def controller_port(self):
        """The internal port of controllers: the first of the range."""
        return self.ports[0]

    @property
    def router_port(self):
        """The internal port of routers: the second of the range."""
        return self.ports[0] + 1


class Bad(Exception):
    """A startup file that can't be used; its text is the sentence to print."""


_KINDS = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


def _get(d, path, kind, default=None, needed=False):
    at, val = path.split("."), d
    for k in at:
        if not isinstance(val, dict):
            raise Bad(f"{path} can't be read: {at[0]} must be a table.")
        val = val.get(k)
        if val is None:
            if needed:
                raise Bad(f"{path} is missing.")
            return default
    if kind is float and type(val) is int:
        val = float(val)
    if type(val) is not kind:
        raise Bad(f"{path} must be {_KINDS[kind]}.")
    return val


def _address(val, path):
    host, _, port = val.rpartition(":") if isinstance(val, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Bad(f"{path} must be HOST:PORT.")
    return Address(host, int(port))


def _span(d, path, unit, default):
    return default if _get(d, path, float) is None else timedelta(**{unit: _figure(d, path, 0.0)})


def _figure(d, path, default):
    """A whole number or a fraction, as it stands; the operators write either."""
    val = _get(d, path, float, default)
    if val < 0:
        raise Bad(f"{path} must not be negative.")
    if not isfinite(val):
        raise Bad(f"{path} must be a number with an end.")
    return val


def _count(d, path, default=0, whole=floor):
    """A figure that counts things: a fraction of one is rounded to the safe side."""
    return whole(_figure(d, path, default))


def _bounds(d):
    std = Bounds()
    return Bounds(
        contact=_span(d, "bounds.contactMs", "milliseconds", std.contact),
        acknowledge=_span(d, "bounds.acknowledgeMs", "milliseconds", std.acknowledge),
        drain=_span(d, "bounds.drainMs", "milliseconds", std.drain),
        grace=_span(d, "bounds.graceS", "seconds", std.grace),
        config_apply=_span(d, "bounds.configApplyMs", "milliseconds", std.config_apply),
        budget_window=_span(d, "bounds.budgetWindowS", "seconds", std.budget_window),
        budget_ratio=_figure(d, "bounds.retryBudgetRatio", std.budget_ratio),
        budget_slack=_figure(d, "bounds.retryBudgetSlack", std.budget_slack),
        pass_time=_span(d, "bounds.passMs", "milliseconds", std.pass_time),
        recovery=_span(d, "bounds.recoveryS", "seconds", std.recovery),
    )


def _listen(d):
    raw = _get(d, "listenAddresses", dict, {})
    return Listen(
        **{k: _address(raw[k], f"listenAddresses.{k}") for k in ("front", "readiness", "control") if k in raw}
    )


def _members(d):
    got = declared(d.get("members", {}))
    if not isinstance(got, Success):
        raise Bad(got.failure())
    return got.unwrap()


def from_dict(d):
    """Checks a parsed startup file.

    >>> from_dict({}).failure()
    'internalPortRange is missing.'
    """
    try:
        return Success(_build(d))
    except Bad as e:
        return Failure(str(e))


def _build(d):
    ports = _get(d, "internalPortRange", list, needed=True)
    if len(ports) != 2 or not all(type(p) is int and 0 < p < 65536 for p in ports) or ports[1] <= ports[0]:
        raise Bad("internalPortRange must be two rising port numbers.")
    cloud = _get(d, "cloudApi.address", str)
    rate = _get(d, "cloudApi.ratePerS", float, 1.0)
    if rate <= 0:
        raise Bad("cloudApi.ratePerS must be above 0.")
    return Startup(
        node=_get(d, "nodeName", str, needed=True),
        role=_get(d, "role", str, ""),
        ip=_get(d, "ipAddress", str, needed=True),
        zone=_get(d, "zone", str, ""),
        ports=tuple(ports),
        seeds=tuple(_address(s, "seedNodes") for s in _get(d, "seedNodes", list, needed=True)),
        listen=_listen(d),
        zones=_get(d, "zones", dict, {}),
        first_start=_get(d, "firstStart", bool, False),
        counted=_get(d, "lossCounted", bool, False),
        data=_get(d, "dataDirectory", str),
        limits=Limits(_count(d, "limits.memoryMb", 256), _count(d, "limits.fileDescriptors", 1024)),
        tolerated=Tolerated(*(_count(d, f"toleratedLosses.{k}", whole=ceil) for k in ("machines", "zones", "regions"))),
        bounds=_bounds(d),
        cloud=cloud
        and CloudApi(
            _address(cloud, "cloudApi.address"), rate, _span(d, "cloudApi.lagMs", "milliseconds", timedelta(0))
        ),
        members=_members(d),
    )


def where():
    """The path of the startup file.

    >>> where().endswith(".toml")
    True
    """
    return os.environ.get(VARIABLE, DEFAULT)


def read(path) -> Result:
    """Reads and checks a startup file.

    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the startup file is missing.'
    """
    try:
        with open(path, "rb") as f:
            d = tomllib.load(f)
    except FileNotFoundError:
        return Failure(f"{path}: the startup file is missing.")
    except OSError as e:
        return Failure(f"{path}: the startup file can't be read ({e.strerror}).")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        return Failure(f"{path}: the startup file is not TOML ({e}).")
    return from_dict(d).alt(lambda s: f"{path}: {s}")
