"""Reads the startup file and says in one sentence what is wrong with it."""

import os
import tomllib
from datetime import timedelta
from math import ceil, floor, isfinite

from attrs import define, field
from returns.result import Failure, Result, Success

from sparloom import isolation
from sparloom.admission.member import parse_members
from sparloom.isolation import Isolation

VARIABLE = "SPARLOOM_CONFIG"
DEFAULT = "/etc/sparloom/node.toml"
HIGHEST_PORT = 65535


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
class ListenAddresses:
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
class ToleratedLosses:
    """What may be lost at once while every promise still holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def copies(self):
        """How many backups a write needs besides its primary.

        >>> ToleratedLosses(machines=1).copies
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
class Settings:
    """All that a process is told when it starts."""

    node: str
    role: str
    ip: str
    zone: str
    ports: tuple
    seeds: tuple
    listen: ListenAddresses
    zones: dict = field(factory=dict)
    first_start: bool = False
    counted: bool = False
    data: str | None = None
    limits: Limits = field(factory=Limits)
    tolerated: ToleratedLosses = field(factory=ToleratedLosses)
    bounds: Bounds = field(factory=Bounds)
    cloud: CloudApi | None = None
    members: tuple = ()
    isolation: Isolation | None = None

    @property
    def controller_port(self):
        """The internal port of controllers: the first of the range."""
        return self.ports[0]

    @property
    def router_port(self):
        """The internal port of routers: the second of the range."""
        return self.ports[0] + 1


class SettingsError(Exception):
    """A startup file that can't be used; its text is the sentence to print."""


_KINDS = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


def _get(table, path, kind, default=None, needed=False):
    """The value at a dotted path, of exactly this kind; whole numbers also serve as fractions."""
    keys, value = path.split("."), table
    for key in keys:
        if not isinstance(value, dict):
            raise SettingsError(f"{path} can't be read: {keys[0]} must be a table.")
        value = value.get(key)
        if value is None:
            if needed:
                raise SettingsError(f"{path} is missing.")
            return default
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        raise SettingsError(f"{path} must be {_KINDS[kind]}.")
    return value


def _is_port(value):
    return type(value) is int and 0 < value <= HIGHEST_PORT


def _address(value, path):
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not _is_port(int(port)):
        raise SettingsError(f"{path} must be HOST:PORT.")
    return Address(host, int(port))


def _figure(table, path, default):
    """A whole number or a fraction, as it stands; the operators write either."""
    value = _get(table, path, float, default)
    if value < 0:
        raise SettingsError(f"{path} must not be negative.")
    if not isfinite(value):
        raise SettingsError(f"{path} must be a number with an end.")
    return value


def _span(table, path, unit, default):
    given = _get(table, path, float) is not None
    return timedelta(**{unit: _figure(table, path, 0.0)}) if given else default


def _count(table, path, default=0, whole=floor):
    """A figure that counts things: a fraction of one is rounded to the safe side."""
    return whole(_figure(table, path, default))


def _ports(table):
    ports = _get(table, "internalPortRange", list, needed=True)
    if len(ports) != 2 or not all(map(_is_port, ports)) or ports[1] <= ports[0]:
        raise SettingsError("internalPortRange must be two rising port numbers.")
    return tuple(ports)


def _seeds(table):
    return tuple(_address(seed, "seedNodes") for seed in _get(table, "seedNodes", list, needed=True))


def _listen(table):
    given = _get(table, "listenAddresses", dict, {})
    names = [name for name in ("front", "readiness", "control") if name in given]
    return ListenAddresses(**{name: _address(given[name], f"listenAddresses.{name}") for name in names})


def _limits(table):
    return Limits(
        memory_mb=_count(table, "limits.memoryMb", Limits().memory_mb),
        descriptors=_count(table, "limits.fileDescriptors", Limits().descriptors),
    )


def _tolerated(table):
    return ToleratedLosses(
        machines=_count(table, "toleratedLosses.machines", whole=ceil),
        zones=_count(table, "toleratedLosses.zones", whole=ceil),
        regions=_count(table, "toleratedLosses.regions", whole=ceil),
    )


def _bounds(table):
    std = Bounds()
    return Bounds(
        contact=_span(table, "bounds.contactMs", "milliseconds", std.contact),
        acknowledge=_span(table, "bounds.acknowledgeMs", "milliseconds", std.acknowledge),
        drain=_span(table, "bounds.drainMs", "milliseconds", std.drain),
        grace=_span(table, "bounds.graceS", "seconds", std.grace),
        config_apply=_span(table, "bounds.configApplyMs", "milliseconds", std.config_apply),
        budget_window=_span(table, "bounds.budgetWindowS", "seconds", std.budget_window),
        budget_ratio=_figure(table, "bounds.retryBudgetRatio", std.budget_ratio),
        budget_slack=_figure(table, "bounds.retryBudgetSlack", std.budget_slack),
        pass_time=_span(table, "bounds.passMs", "milliseconds", std.pass_time),
        recovery=_span(table, "bounds.recoveryS", "seconds", std.recovery),
    )


def _cloud(table):
    """Where the platform's list is, or None where there is none; the rate is checked in any case."""
    rate = _get(table, "cloudApi.ratePerS", float, 1.0)
    if rate <= 0:
        raise SettingsError("cloudApi.ratePerS must be above 0.")
    address = _get(table, "cloudApi.address", str)
    if not address:
        return None
    lag = _span(table, "cloudApi.lagMs", "milliseconds", timedelta(0))
    return CloudApi(_address(address, "cloudApi.address"), rate, lag)


def _members(table):
    given = parse_members(table.get("members", {}))
    if not isinstance(given, Success):
        raise SettingsError(given.failure())
    return given.unwrap()


def _isolation(table, members):
    given = isolation.parse_isolation(table.get("isolation"), members)
    if not isinstance(given, Success):
        raise SettingsError(given.failure())
    return given.unwrap()


def _build(table):
    ports = _ports(table)
    cloud = _cloud(table)
    members = _members(table)
    return Settings(
        node=_get(table, "nodeName", str, needed=True),
        role=_get(table, "role", str, ""),
        ip=_get(table, "ipAddress", str, needed=True),
        zone=_get(table, "zone", str, ""),
        ports=ports,
        seeds=_seeds(table),
        listen=_listen(table),
        zones=_get(table, "zones", dict, {}),
        first_start=_get(table, "firstStart", bool, False),
        counted=_get(table, "lossCounted", bool, False),
        data=_get(table, "dataDirectory", str),
        limits=_limits(table),
        tolerated=_tolerated(table),
        bounds=_bounds(table),
        cloud=cloud,
        members=members,
        isolation=_isolation(table, members),
    )


def from_dict(table):
    """Checks a parsed startup file.

    >>> from_dict({}).failure()
    'internalPortRange is missing.'
    """
    try:
        return Success(_build(table))
    except SettingsError as e:
        return Failure(str(e))


def where():
    """The path of the startup file.

    >>> where().endswith(".toml")
    True
    """
    return os.environ.get(VARIABLE, DEFAULT)


def read_toml(path, what) -> Result:
    """Reads a TOML file; ``what`` names it in the sentence that tells a fault.

    >>> read_toml("/nowhere.toml", "the plan").failure()
    'the plan is missing.'
    """
    try:
        with open(path, "rb") as file:
            return Success(tomllib.load(file))
    except FileNotFoundError:
        return Failure(f"{what} is missing.")
    except OSError as e:
        return Failure(f"{what} can't be read ({e.strerror}).")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        return Failure(f"{what} is not TOML ({e}).")


def read(path) -> Result:
    """Reads and checks a startup file.

    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the startup file is missing.'
    """
    return read_toml(path, "the startup file").bind(from_dict).alt(lambda fault: f"{path}: {fault}")
