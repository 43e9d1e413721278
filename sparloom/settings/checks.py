"""Reads the startup file; what is wrong with it is said in one sentence."""

from __future__ import annotations

import os
import tomllib
from datetime import timedelta
from math import ceil, floor, isfinite
from typing import TYPE_CHECKING, Any, TypeVar

from returns.result import Failure, Result, Success

from sparloom.admission.member import parse_members
from sparloom.errors import SparloomError

from .model import (
    MODEL_DEPLOYMENT,
    ORDERS_BY_CALL,
    ROLLOUT_CONTRACT,
    SCALING_DUTY,
    USAGE_DUTY,
    Address,
    Bounds,
    CloudApi,
    ColdBounds,
    DutySettings,
    JobBounds,
    Limits,
    ListenAddresses,
    RevocationBounds,
    RolloutSettings,
    Settings,
    ToleratedLosses,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.admission.member import Member
    from sparloom.isolation import Isolation

    Table = dict[str, Any]

VARIABLE = "SPARLOOM_CONFIG"
DEFAULT = "/etc/sparloom/node.toml"
HIGHEST_PORT = 65535

_Value = TypeVar("_Value")


class SettingsError(SparloomError):
    """A startup file that cannot be used; the text is the sentence to print."""


_KINDS: dict[type, str] = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


def _find(table: Table, path: str) -> Any:
    """The value at a dotted path; None where there is none."""
    value: Any = table
    for key in path.split("."):
        if not isinstance(value, dict):
            raise SettingsError(f"{path} can't be read: {path.split('.')[0]} must be a table.")
        value = value.get(key)
        if value is None:
            return None
    return value


def _optional(table: Table, path: str, kind: type[_Value]) -> _Value | None:
    """The value at a dotted path, of exactly this kind; None where there is none.

    A whole number also serves as a fraction.
    """
    value = _find(table, path)
    if value is None:
        return None
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        raise SettingsError(f"{path} must be {_KINDS[kind]}.")
    return value


def _get(table: Table, path: str, kind: type[_Value], default: _Value) -> _Value:
    value = _optional(table, path, kind)
    return default if value is None else value


def _required(table: Table, path: str, kind: type[_Value]) -> _Value:
    value = _optional(table, path, kind)
    if value is None:
        raise SettingsError(f"{path} is missing.")
    return value


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 < value <= HIGHEST_PORT


def _address(value: Any, path: str) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not _is_port(int(port)):
        raise SettingsError(f"{path} must be HOST:PORT.")
    return Address(host, int(port))


def _number(table: Table, path: str, default: float) -> float:
    """A finite number from 0 on, whole or a fraction: the operators write either."""
    value = _get(table, path, float, default)
    if value < 0:
        raise SettingsError(f"{path} must not be negative.")
    if not isfinite(value):
        raise SettingsError(f"{path} must be a number with an end.")
    return value


def _milliseconds(table: Table, path: str, default: timedelta) -> timedelta:
    is_given = _optional(table, path, float) is not None
    return timedelta(milliseconds=_number(table, path, 0.0)) if is_given else default


def _seconds(table: Table, path: str, default: timedelta) -> timedelta:
    is_given = _optional(table, path, float) is not None
    return timedelta(seconds=_number(table, path, 0.0)) if is_given else default


def _count(table: Table, path: str, rounded: Callable[[float], int], default: int = 0) -> int:
    """A number of things; ``rounded`` takes a fraction to the safe side."""
    return rounded(_number(table, path, default))


def _ports(table: Table) -> tuple[int, int]:
    ports = _required(table, "internalPortRange", list)
    if len(ports) != 2 or not all(map(_is_port, ports)) or ports[1] <= ports[0]:
        raise SettingsError("internalPortRange must be two rising port numbers.")
    first, last = ports
    return first, last


def _seeds(table: Table) -> tuple[Address, ...]:
    return tuple(_address(seed, "seedNodes") for seed in _required(table, "seedNodes", list))


def _listen(table: Table) -> ListenAddresses:
    given: Table = _get(table, "listenAddresses", dict, {})
    names = [name for name in ("front", "readiness", "control") if name in given]
    return ListenAddresses(**{name: _address(given[name], f"listenAddresses.{name}") for name in names})


def _limits(table: Table) -> Limits:
    default = Limits()
    return Limits(
        memory_mb=_count(table, "limits.memoryMb", floor, default.memory_mb),
        descriptors=_count(table, "limits.fileDescriptors", floor, default.descriptors),
    )


def _tolerated(table: Table) -> ToleratedLosses:
    return ToleratedLosses(
        machines=_count(table, "toleratedLosses.machines", ceil),
        zones=_count(table, "toleratedLosses.zones", ceil),
        regions=_count(table, "toleratedLosses.regions", ceil),
    )


def _bounds(table: Table) -> Bounds:
    default = Bounds()
    return Bounds(
        contact=_milliseconds(table, "bounds.contactMs", default.contact),
        acknowledge=_milliseconds(table, "bounds.acknowledgeMs", default.acknowledge),
        drain=_milliseconds(table, "bounds.drainMs", default.drain),
        grace=_seconds(table, "bounds.graceS", default.grace),
        config_apply=_milliseconds(table, "bounds.configApplyMs", default.config_apply),
        budget_window=_seconds(table, "bounds.budgetWindowS", default.budget_window),
        budget_ratio=_number(table, "bounds.retryBudgetRatio", default.budget_ratio),
        budget_slack=_number(table, "bounds.retryBudgetSlack", default.budget_slack),
        pass_time=_milliseconds(table, "bounds.passMs", default.pass_time),
        recovery=_seconds(table, "bounds.recoveryS", default.recovery),
    )


def _cold_bounds(table: Table) -> ColdBounds:
    default = ColdBounds()
    return ColdBounds(
        overage=_number(table, "bounds.coldOverage", default.overage),
        slack=_number(table, "bounds.coldSlack", default.slack),
    )


def _revocation_bounds(table: Table) -> RevocationBounds:
    default = RevocationBounds()
    return RevocationBounds(
        closed=_get(table, "bounds.revocationClosed", bool, default.closed),
        within=_milliseconds(table, "bounds.revokeMs", default.within),
    )


def _duties(table: Table) -> DutySettings:
    default = DutySettings()
    names = _get(table, "cloudApi.duties", list, [])
    window = _seconds(table, "bounds.usageWindowS", default.usage_window)
    if not window:
        raise SettingsError("bounds.usageWindowS must be above 0.")
    rate = _number(table, "cloudApi.dutyPerS", default.rate)
    if not rate:
        raise SettingsError("cloudApi.dutyPerS must be above 0.")
    return DutySettings(
        reports_usage=USAGE_DUTY in names,
        scales=SCALING_DUTY in names,
        rate=rate,
        fencing_checked=_get(table, "bounds.fencingChecked", bool, default.fencing_checked),
        lease=_milliseconds(table, "bounds.leaseMs", default.lease),
        thaw_slack=_milliseconds(table, "bounds.thawSlackMs", default.thaw_slack),
        usage_window=window,
        usage_error=_number(table, "bounds.usageError", default.usage_error),
        usage_lateness=_seconds(table, "bounds.usageLatenessS", default.usage_lateness),
    )


def _rollouts(table: Table) -> RolloutSettings:
    default = RolloutSettings()
    share = _number(table, "bounds.exposureShare", default.exposure_share)
    if share > 1:
        raise SettingsError("bounds.exposureShare must be 1 at most.")
    return RolloutSettings(
        enabled=ROLLOUT_CONTRACT in _get(table, "contracts", list, []),
        exposure_share=share,
        exposure_slack=_number(table, "bounds.exposureSlack", default.exposure_slack),
        rollback=_milliseconds(table, "bounds.rollbackMs", default.rollback),
    )


def _job_bounds(table: Table) -> JobBounds:
    default = JobBounds()
    return JobBounds(
        hold_limit=_milliseconds(table, "bounds.holdLimitMs", default.hold_limit),
        gang=_milliseconds(table, "bounds.gang_ms", default.gang),
        status=_seconds(table, "bounds.status_s", default.status),
    )


def _cloud(table: Table) -> CloudApi | None:
    """Where the platform lists its runners; None where there is no list. The rate is checked in any case."""
    rate = _get(table, "cloudApi.ratePerS", float, 1.0)
    if rate <= 0:
        raise SettingsError("cloudApi.ratePerS must be above 0.")
    address = _optional(table, "cloudApi.address", str)
    if not address:
        return None
    lag = _milliseconds(table, "cloudApi.lagMs", timedelta(0))
    return CloudApi(_address(address, "cloudApi.address"), rate, lag)


def _unwrapped(result: Result[_Value, str]) -> _Value:
    """The value of a section that another package has checked."""
    if not isinstance(result, Success):
        raise SettingsError(result.failure())
    value: _Value = result.unwrap()
    return value


def _members(table: Table) -> tuple[Member, ...]:
    members: tuple[Member, ...] = _unwrapped(parse_members(table.get("members", {})))
    return members


def _isolation(table: Table, members: tuple[Member, ...]) -> Isolation | None:
    if table.get("isolation") is None:
        return None
    # Deployments without it don't spend time and memory of a start on it.
    from sparloom.isolation import parse_isolation

    declared: Isolation | None = _unwrapped(parse_isolation(table["isolation"], members))
    return declared


def _build(table: Table) -> Settings:
    ports = _ports(table)
    cloud = _cloud(table)
    members = _members(table)
    return Settings(
        node=_required(table, "nodeName", str),
        role=_get(table, "role", str, ""),
        ip=_required(table, "ipAddress", str),
        zone=_get(table, "zone", str, ""),
        ports=ports,
        seeds=_seeds(table),
        listen=_listen(table),
        zones=_get(table, "zones", dict, {}),
        first_start=_get(table, "firstStart", bool, False),
        loss_counted=_get(table, "lossCounted", bool, False),
        data=_optional(table, "dataDirectory", str),
        limits=_limits(table),
        tolerated=_tolerated(table),
        bounds=_bounds(table),
        cloud=cloud,
        members=members,
        isolation=_isolation(table, members),
        deployment=_get(table, "deployment", str, MODEL_DEPLOYMENT),
        orders=_get(table, "orders", str, ORDERS_BY_CALL),
        jobs=_job_bounds(table),
        cold=_cold_bounds(table),
        revocation=_revocation_bounds(table),
        duties=_duties(table),
        rollouts=_rollouts(table),
    )


def from_dict(table: Table) -> Result[Settings, str]:
    """Checks a parsed startup file; a Failure holds the sentence about its first fault.

    Examples
    --------
    >>> from_dict({}).failure()
    'internalPortRange is missing.'
    """
    try:
        return Success(_build(table))
    except SettingsError as error:
        return Failure(str(error))


def startup_path() -> str:
    """The path of the startup file: that in ``SPARLOOM_CONFIG``, or the usual one.

    Examples
    --------
    >>> startup_path().endswith(".toml")
    True
    """
    return os.environ.get(VARIABLE, DEFAULT)


def read_toml(path: str, what: str) -> Result[dict[str, Any], str]:
    """Reads a TOML file.

    Parameters
    ----------
    path
        The file.
    what
        What it is called in the sentence about a fault.

    Examples
    --------
    >>> read_toml("/nowhere.toml", "the plan").failure()
    'the plan is missing.'
    """
    try:
        with open(path, "rb") as file:
            return Success(tomllib.load(file))
    except FileNotFoundError:
        return Failure(f"{what} is missing.")
    except OSError as error:
        return Failure(f"{what} can't be read ({error.strerror}).")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure(f"{what} is not TOML ({error}).")


def read(path: str) -> Result[Settings, str]:
    """Reads and checks a startup file; a Failure holds a sentence that begins with the path.

    Examples
    --------
    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the startup file is missing.'
    """
    return read_toml(path, "the startup file").bind(from_dict).alt(lambda fault: f"{path}: {fault}")
