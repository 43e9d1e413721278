"""Roll-outs as routers are told of them, in an addition to the operators' configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define

from .additions import ROLLOUTS

if TYPE_CHECKING:
    from .check import ConfigurationDocument

# Names of the keys of one entry.
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
    """A roll-out that is under way.

    Attributes
    ----------
    number
        Its number.
    pool
        The pool of the new version's runners.
    step
        How far it has come, a number of ``sparloom.rollouts.Step``.
    share
        The part of the requests that may go to the new version.
    collector
        HOST:PORT of the controller that takes votes; "" while none does.
    """

    number: int
    pool: str
    step: int
    share: float
    collector: str


@define(frozen=True, slots=True)
class ServiceVersions:
    """Which pools of a service requests go to.

    Attributes
    ----------
    pools
        The pools that serve.
    base
        Those that served before the newest roll-out; they serve while nothing of ``pools`` is listed.
    trial
        The roll-out that is under way, if any.
    """

    pools: frozenset[str]
    base: frozenset[str]
    trial: Trial | None = None


def _trial(item: dict[str, Any]) -> Trial | None:
    if TRIAL not in item:
        return None
    return Trial(item[NUMBER], item[TRIAL], item[STEP], item[SHARE], item[COLLECTOR])


def service_versions(document: ConfigurationDocument) -> dict[str, ServiceVersions]:
    """The services that have had a roll-out, by name.

    Examples
    --------
    >>> service_versions({"revision": 1, "rollouts": [{"service": "s", "pools": ["s"], "base": ["s"]}]})["s"].trial
    """
    return {
        item[SERVICE]: ServiceVersions(frozenset(item[POOLS]), frozenset(item[BASE]), _trial(item))
        for item in document.get(ROLLOUTS, ())
    }
