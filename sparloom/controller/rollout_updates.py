"""Evaluates rollout updates against the committed control state, and builds the routers' view of rollouts. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sparloom.configuration.rollouts import BASE, COLLECTOR, NUMBER, POOLS, SERVICE, SHARE, STEP, TRIAL
from sparloom.discovery import pool_name, service_of, version_of
from sparloom.rollouts import RolloutsState
from sparloom.rollouts.updates import OrderRollout, Refusal

from .change_requests import ChangeEvaluation, ChangeVerdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sparloom.discovery import Endpoint
    from sparloom.rollouts.updates import RolloutUpdate

    from .control_state import State


def evaluate_rollout_update(state: State, update: RolloutUpdate) -> ChangeEvaluation:
    """Return the verdict on an update against a committed state.

    >>> from .control_state import State
    >>> configured = State({"revision": 1, "services": [{"name": "s"}]})
    >>> first = evaluate_rollout_update(configured, OrderRollout("s", "v2", 9000))
    >>> first.verdict.name, evaluate_rollout_update(first.state, OrderRollout("s", "v2", 9000)).verdict.name
    ('NEW', 'ALREADY_COMMITTED')
    >>> evaluate_rollout_update(first.state, OrderRollout("s", "v3", 9000)).verdict.name
    'CONFLICT'
    >>> evaluate_rollout_update(configured, OrderRollout("t", "v2", 9000)).fault
    'the configuration has no service t'
    """
    if isinstance(update, OrderRollout) and not state.revision:
        # Before the first configuration the set of services is unknown.
        return ChangeEvaluation(ChangeVerdict.POSSIBLY_COMMITTED)
    if isinstance(update, OrderRollout) and not _is_configured(state, update.service):
        return ChangeEvaluation(ChangeVerdict.UNKNOWN_NAME, fault=f"the configuration has no service {update.service}")
    before = state.rollouts or RolloutsState()
    after = update.apply(before)
    if isinstance(after, Refusal):
        verdict = ChangeVerdict.CONFLICT if after.conflicting_rollout else ChangeVerdict.STALE
        return ChangeEvaluation(verdict, fault=after.text)
    if after == before:
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    return ChangeEvaluation(ChangeVerdict.NEW, state.with_rollouts(after))


def _is_configured(state: State, service: str) -> bool:
    return any(item["name"] == service for item in state.configuration.get("services", ()))


def pool_of(state: RolloutsState, service: str, version: str) -> str:
    """The pool of a version's runners; the first version's pool has the service's own name.

    >>> pool_of(RolloutsState(first_versions={"s": ("v1",)}), "s", "v1")
    's'
    """
    return service if state.uses_default_pool(service, version) else pool_name(service, version)


def assign_pools(state: RolloutsState | None, runners: Iterable[Endpoint]) -> list[Endpoint]:
    """Return runners that are listed by version, each assigned to its pool.

    ``state`` is None until the versions are known; each runner is then in the pool of its service's name.

    >>> from sparloom.discovery import Endpoint
    >>> state = RolloutsState().record_first_versions({"s": ("v1",)})
    >>> listed = [Endpoint(version, pool_name("s", version), "h:1", "z", 8, False, 0) for version in ("v1", "v2")]
    >>> [[runner.service for runner in assign_pools(rollouts, listed)] for rollouts in (state, None)]
    [['s', 's\\x1fv2'], ['s', 's']]
    """
    rollouts = state or RolloutsState()
    return [
        runner.in_pool(pool_of(rollouts, service_of(runner.service), version_of(runner.service))) for runner in runners
    ]


def serving_runners(state: RolloutsState, runners: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the runners of the serving versions, each under its service's name.

    >>> from sparloom.discovery import Endpoint
    >>> state = RolloutsState().record_first_versions({"s": ("v1",)}).order("s", "v2", 9000, 0)
    >>> listed = [Endpoint(pool, pool, "h:1", "z", 8, False, 0) for pool in ("s", pool_name("s", "v2"))]
    >>> [runner.id for runner in serving_runners(state, listed)]
    ['s']
    """
    serving = []
    for runner in runners:
        service = service_of(runner.service)
        if runner.service in _pools(state, service, state.serving_versions(service)):
            serving.append(runner.in_pool(service))
    return serving


def rollouts_addition(state: RolloutsState) -> list[dict[str, Any]]:
    """The addition to the feed's document: an entry for each service with a rollout or several first versions.

    >>> rollouts_addition(RolloutsState().record_first_versions({"s": ("v1",)}))
    []
    >>> rollouts_addition(RolloutsState().record_first_versions({"s": ("v1", "v2")}))[0]["pools"]
    ['s', 's\\x1fv2']
    >>> rollouts_addition(RolloutsState().record_first_versions({"s": ("v1",)}).order("s", "v2", 9000, 0))[0]["pools"]
    ['s']
    """
    multi_version = {service for service, versions in state.first_versions.items() if len(versions) > 1}
    return [_entry(state, service) for service in sorted({*state.newest, *multi_version})]


def _entry(state: RolloutsState, service: str) -> dict[str, Any]:
    rollout = state.newest.get(service)
    entry: dict[str, Any] = {
        SERVICE: service,
        POOLS: _pools(state, service, state.serving_versions(service)),
        BASE: _pools(state, service, rollout.base if rollout else ()),
    }
    if rollout is None or not rollout.is_serving:
        return entry
    return {
        **entry,
        NUMBER: rollout.number,
        TRIAL: pool_of(state, service, rollout.target),
        STEP: int(rollout.step),
        SHARE: rollout.traffic_fraction,
        COLLECTOR: state.collector,
    }


def _pools(state: RolloutsState, service: str, versions: Iterable[str]) -> list[str]:
    # Before the first list the serving versions aren't known, and all of their runners are in the service's pool.
    return sorted({pool_of(state, service, version) for version in versions}) or [service]
