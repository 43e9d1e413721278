"""Reads and validates the startup file, and describes the first fault in one sentence."""

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

CONFIG_PATH_VARIABLE = "SPARLOOM_CONFIG"
DEFAULT_CONFIG_PATH = "/etc/sparloom/node.toml"
HIGHEST_PORT = 65535

_Value = TypeVar("_Value")


class SettingsError(SparloomError):
    """An invalid startup file; the message is the sentence to print."""


_TYPE_NAMES: dict[type, str] = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


def _lookup(table: Table, path: str) -> Any:
    """Return the value at a dotted path, or None if it is missing."""
    value: Any = table
    for key in path.split("."):
        if not isinstance(value, dict):
            raise SettingsError(f"{path} can't be read: {path.split('.')[0]} must be a table.")
        value = value.get(key)
        if value is None:
            return None
    return value


def _optional(table: Table, path: str, expected_type: type[_Value]) -> _Value | None:
    """Return the value at a dotted path, or None if it is missing; its type must match exactly.

    The exception is an integer where a float is expected.
    """
    value = _lookup(table, path)
    if value is None:
        return None
    if expected_type is float and type(value) is int:
        value = float(value)
    if type(value) is not expected_type:
        raise SettingsError(f"{path} must be {_TYPE_NAMES[expected_type]}.")
    return value


def _get(table: Table, path: str, expected_type: type[_Value], default: _Value) -> _Value:
    value = _optional(table, path, expected_type)
    return default if value is None else value


def _required(table: Table, path: str, expected_type: type[_Value]) -> _Value:
    value = _optional(table, path, expected_type)
    if value is None:
        raise SettingsError(f"{path} is missing.")
    return value


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 < value <= HIGHEST_PORT


def _parse_address(value: Any, path: str) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not _is_port(int(port)):
        raise SettingsError(f"{path} must be HOST:PORT.")
    return Address(host, int(port))


def _get_number(table: Table, path: str, default: float) -> float:
    """Return a finite number, 0 or more; operators write integers and fractions alike."""
    value = _get(table, path, float, default)
    if value < 0:
        raise SettingsError(f"{path} must not be negative.")
    if not isfinite(value):
        raise SettingsError(f"{path} must be finite.")
    return value


def _get_milliseconds(table: Table, path: str, default: timedelta) -> timedelta:
    is_given = _optional(table, path, float) is not None
    return timedelta(milliseconds=_get_number(table, path, 0.0)) if is_given else default


def _get_seconds(table: Table, path: str, default: timedelta) -> timedelta:
    is_given = _optional(table, path, float) is not None
    return timedelta(seconds=_get_number(table, path, 0.0)) if is_given else default


def _get_count(table: Table, path: str, rounding: Callable[[float], int], default: int = 0) -> int:
    """Return a count; ``rounding`` rounds a fraction to the safe side."""
    return rounding(_get_number(table, path, default))


def _parse_ports(table: Table) -> tuple[int, int]:
    ports = _required(table, "internalPortRange", list)
    if len(ports) != 2 or not all(map(_is_port, ports)) or ports[1] <= ports[0]:
        raise SettingsError("internalPortRange must be two port numbers in ascending order.")
    first, last = ports
    return first, last


def _parse_seeds(table: Table) -> tuple[Address, ...]:
    return tuple(_parse_address(seed, "seedNodes") for seed in _required(table, "seedNodes", list))


def _parse_listen_addresses(table: Table) -> ListenAddresses:
    given: Table = _get(table, "listenAddresses", dict, {})
    names = [name for name in ("front", "readiness", "control") if name in given]
    return ListenAddresses(**{name: _parse_address(given[name], f"listenAddresses.{name}") for name in names})


def _parse_limits(table: Table) -> Limits:
    default = Limits()
    return Limits(
        memory_mb=_get_count(table, "limits.memoryMb", floor, default.memory_mb),
        descriptors=_get_count(table, "limits.fileDescriptors", floor, default.descriptors),
    )


def _parse_tolerated_losses(table: Table) -> ToleratedLosses:
    return ToleratedLosses(
        machines=_get_count(table, "toleratedLosses.machines", ceil),
        zones=_get_count(table, "toleratedLosses.zones", ceil),
        regions=_get_count(table, "toleratedLosses.regions", ceil),
    )


def _parse_bounds(table: Table) -> Bounds:
    default = Bounds()
    return Bounds(
        contact=_get_milliseconds(table, "bounds.contactMs", default.contact),
        acknowledge=_get_milliseconds(table, "bounds.acknowledgeMs", default.acknowledge),
        drain=_get_milliseconds(table, "bounds.drainMs", default.drain),
        grace=_get_seconds(table, "bounds.graceS", default.grace),
        config_apply=_get_milliseconds(table, "bounds.configApplyMs", default.config_apply),
        budget_window=_get_seconds(table, "bounds.budgetWindowS", default.budget_window),
        budget_ratio=_get_number(table, "bounds.retryBudgetRatio", default.budget_ratio),
        budget_slack=_get_number(table, "bounds.retryBudgetSlack", default.budget_slack),
        pass_time=_get_milliseconds(table, "bounds.passMs", default.pass_time),
        recovery=_get_seconds(table, "bounds.recoveryS", default.recovery),
    )


def _parse_cold_bounds(table: Table) -> ColdBounds:
    default = ColdBounds()
    return ColdBounds(
        overage=_get_number(table, "bounds.coldOverage", default.overage),
        slack=_get_number(table, "bounds.coldSlack", default.slack),
    )


def _parse_revocation_bounds(table: Table) -> RevocationBounds:
    default = RevocationBounds()
    return RevocationBounds(
        closed=_get(table, "bounds.revocationClosed", bool, default.closed),
        within=_get_milliseconds(table, "bounds.revokeMs", default.within),
    )


def _parse_duties(table: Table) -> DutySettings:
    default = DutySettings()
    names = _get(table, "cloudApi.duties", list, [])
    window = _get_seconds(table, "bounds.usageWindowS", default.usage_window)
    if not window:
        raise SettingsError("bounds.usageWindowS must be above 0.")
    rate = _get_number(table, "cloudApi.dutyPerS", default.rate)
    if not rate:
        raise SettingsError("cloudApi.dutyPerS must be above 0.")
    return DutySettings(
        reports_usage=USAGE_DUTY in names,
        scales=SCALING_DUTY in names,
        rate=rate,
        fencing_checked=_get(table, "bounds.fencingChecked", bool, default.fencing_checked),
        lease=_get_milliseconds(table, "bounds.leaseMs", default.lease),
        thaw_slack=_get_milliseconds(table, "bounds.thawSlackMs", default.thaw_slack),
        usage_window=window,
        usage_error=_get_number(table, "bounds.usageError", default.usage_error),
        usage_lateness=_get_seconds(table, "bounds.usageLatenessS", default.usage_lateness),
    )


def _parse_rollouts(table: Table) -> RolloutSettings:
    default = RolloutSettings()
    exposure_fraction = _get_number(table, "bounds.exposureShare", default.exposure_share)
    if exposure_fraction > 1:
        raise SettingsError("bounds.exposureShare must be 1 at most.")
    return RolloutSettings(
        enabled=ROLLOUT_CONTRACT in _get(table, "contracts", list, []),
        exposure_share=exposure_fraction,
        exposure_slack=_get_number(table, "bounds.exposureSlack", default.exposure_slack),
        rollback=_get_milliseconds(table, "bounds.rollbackMs", default.rollback),
    )


def _parse_job_bounds(table: Table) -> JobBounds:
    default = JobBounds()
    return JobBounds(
        hold_limit=_get_milliseconds(table, "bounds.holdLimitMs", default.hold_limit),
        gang=_get_milliseconds(table, "bounds.gang_ms", default.gang),
        status=_get_seconds(table, "bounds.status_s", default.status),
    )


def _parse_cloud_api(table: Table) -> CloudApi | None:
    """Return the settings of the platform's runner list, or None without one; the rate is validated in either case."""
    rate = _get(table, "cloudApi.ratePerS", float, 1.0)
    if rate <= 0:
        raise SettingsError("cloudApi.ratePerS must be above 0.")
    address = _optional(table, "cloudApi.address", str)
    if not address:
        return None
    lag = _get_milliseconds(table, "cloudApi.lagMs", timedelta(0))
    return CloudApi(_parse_address(address, "cloudApi.address"), rate, lag)


def _unwrap(result: Result[_Value, str]) -> _Value:
    """Return the value of a section that another package validated, or raise ``SettingsError``."""
    if not isinstance(result, Success):
        raise SettingsError(result.failure())
    value: _Value = result.unwrap()
    return value


def _parse_members(table: Table) -> tuple[Member, ...]:
    members: tuple[Member, ...] = _unwrap(parse_members(table.get("members", {})))
    return members


def _parse_isolation(table: Table, members: tuple[Member, ...]) -> Isolation | None:
    if table.get("isolation") is None:
        return None
    # Imported here to save startup time and memory in deployments without isolation.
    from sparloom.isolation import parse_isolation

    isolation: Isolation | None = _unwrap(parse_isolation(table["isolation"], members))
    return isolation


def _parse_settings(table: Table) -> Settings:
    ports = _parse_ports(table)
    cloud_api = _parse_cloud_api(table)
    members = _parse_members(table)
    return Settings(
        node=_required(table, "nodeName", str),
        role=_get(table, "role", str, ""),
        ip=_required(table, "ipAddress", str),
        zone=_get(table, "zone", str, ""),
        ports=ports,
        seeds=_parse_seeds(table),
        listen=_parse_listen_addresses(table),
        zones=_get(table, "zones", dict, {}),
        first_start=_get(table, "firstStart", bool, False),
        loss_counted=_get(table, "lossCounted", bool, False),
        data=_optional(table, "dataDirectory", str),
        limits=_parse_limits(table),
        tolerated=_parse_tolerated_losses(table),
        bounds=_parse_bounds(table),
        cloud_api=cloud_api,
        members=members,
        isolation=_parse_isolation(table, members),
        deployment=_get(table, "deployment", str, MODEL_DEPLOYMENT),
        orders=_get(table, "orders", str, ORDERS_BY_CALL),
        jobs=_parse_job_bounds(table),
        cold=_parse_cold_bounds(table),
        revocation=_parse_revocation_bounds(table),
        duties=_parse_duties(table),
        rollouts=_parse_rollouts(table),
    )


def from_dict(table: Table) -> Result[Settings, str]:
    """Validate a parsed startup file; a Failure holds a sentence that describes the first fault.

    Examples
    --------
    >>> from_dict({}).failure()
    'internalPortRange is missing.'
    """
    try:
        return Success(_parse_settings(table))
    except SettingsError as error:
        return Failure(str(error))


def startup_path() -> str:
    """Return the path of the startup file: the value of ``SPARLOOM_CONFIG``, or the default path.

    Examples
    --------
    >>> startup_path().endswith(".toml")
    True
    """
    return os.environ.get(CONFIG_PATH_VARIABLE, DEFAULT_CONFIG_PATH)


def read_toml(path: str, description: str) -> Result[dict[str, Any], str]:
    """Read a TOML file.

    Parameters
    ----------
    path
        The path of the file.
    description
        How error messages refer to the file.

    Examples
    --------
    >>> read_toml("/nowhere.toml", "the plan").failure()
    'the plan is missing.'
    """
    try:
        with open(path, "rb") as file:
            return Success(tomllib.load(file))
    except FileNotFoundError:
        return Failure(f"{description} is missing.")
    except OSError as error:
        return Failure(f"{description} can't be read ({error.strerror}).")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure(f"{description} is not TOML ({error}).")


def read(path: str) -> Result[Settings, str]:
    """Read and validate a startup file; a Failure holds a sentence that begins with the path.

    Examples
    --------
    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the startup file is missing.'
    """
    return read_toml(path, "the startup file").bind(from_dict).alt(lambda fault: f"{path}: {fault}")
