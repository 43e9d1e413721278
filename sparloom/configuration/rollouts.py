"""Roll-outs as published to routers in an addition to the operators' configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from .additions import ROLLOUTS

if TYPE_CHECKING:
    from .check import ConfigurationDocument

# JSON keys of one entry.
SERVICE = "service"
POOLS = "pools"
BASE = "base"
TRIAL = "trial"
NUMBER = "number"
STEP = "step"
SHARE = "share"
COLLECTOR = "collector"


@define(frozen=True, slots=True)
class Trial:
    """A roll-out in progress.

    Attributes
    ----------
    number
        The number of the roll-out.
    pool
        The pool of the new version's runners.
    step
        The current step, a number of ``sparloom.rollouts.Step``.
    traffic_fraction
        The fraction of the requests that may go to the new version.
    collector
        HOST:PORT of the controller that collects votes; "" if there is none.
    """

    number: int
    pool: str
    step: int
    traffic_fraction: float
    collector: str


@define(frozen=True, slots=True)
class ServiceVersions:
    """The pools of a service that receive requests.

    Attributes
    ----------
    pools
        The pools that serve requests.
    base
        The pools that served before the latest roll-out. They serve while no runner of ``pools`` is listed.
    trial
        The roll-out in progress, or None.
    """

    pools: frozenset[str]
    base: frozenset[str]
    trial: Trial | None = None


def _parse_trial(item: dict[str, Any]) -> Trial | None:
    if TRIAL not in item:
        return None
    return Trial(item[NUMBER], item[TRIAL], item[STEP], item[SHARE], item[COLLECTOR])


def service_versions(document: ConfigurationDocument) -> dict[str, ServiceVersions]:
    """Return the versions of each service that has had a roll-out, by service name.

    Examples
    --------
    >>> service_versions({"revision": 1, "rollouts": [{"service": "s", "pools": ["s"], "base": ["s"]}]})["s"].trial
    """
    return {
        item[SERVICE]: ServiceVersions(frozenset(item[POOLS]), frozenset(item[BASE]), _parse_trial(item))
        for item in document.get(ROLLOUTS, ())
    }
