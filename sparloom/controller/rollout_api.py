"""The operators' HTTP calls on rollouts: parses orders and builds the replies."""

from __future__ import annotations

import json
from datetime import timedelta
from http import HTTPStatus
from math import isfinite
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from sparloom.discovery import POOL_SEPARATOR
from sparloom.rollouts.updates import OrderRollout
from sparloom.transport import wall_clock_ms

from .change_requests import StateUpdate
from .rollout_updates import evaluate_rollout_update

if TYPE_CHECKING:
    from sparloom.rollouts import Rollout

    from .control_state import State

ROLLOUTS_PATH = "/-/rollouts"
ROLLOUT_PREFIX = ROLLOUTS_PATH + "/"
# Maximum length of the name of a service or version, in characters.
MAXIMUM_NAME_LENGTH = 255
MAXIMUM_DURATION = timedelta(days=30)
MILLISECONDS_PER_S = 1000


def parse_order(body: bytes) -> Result[StateUpdate[OrderRollout], str]:
    """Parse an order from a request's body; a failure is one sentence on the first fault found.

    >>> parse_order(b'{"service":"s","targetVersion":"v2","durationS":12}').unwrap().content.duration_ms
    12000
    >>> parse_order(b'{"service":"s","targetVersion":"v2","durationS":0}').failure()
    'durationS must be a number of seconds above 0 and at most 2592000'
    """
    try:
        item = json.loads(body)
    except (ValueError, RecursionError):
        return Failure("the body is not JSON")
    if not isinstance(item, dict):
        return Failure("the body must be an object")
    for key in ("service", "targetVersion"):
        if not _is_name(item.get(key)):
            return Failure(
                f"{key} must be a string of 1 to {MAXIMUM_NAME_LENGTH} characters, without control characters"
            )
    duration_ms = _duration_ms(item.get("durationS"))
    if duration_ms is None:
        maximum_s = int(MAXIMUM_DURATION.total_seconds())
        return Failure(f"durationS must be a number of seconds above 0 and at most {maximum_s}")
    order = OrderRollout(item["service"], item["targetVersion"], duration_ms, wall_clock_ms())
    return Success(StateUpdate(order, evaluate_rollout_update))


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAXIMUM_NAME_LENGTH and min(value) > POOL_SEPARATOR


def _duration_ms(value: Any) -> int | None:
    """A duration in seconds converted to milliseconds; None if it isn't valid for an order."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if not isfinite(value) or not 0 < value <= MAXIMUM_DURATION.total_seconds():
        return None
    return max(1, round(value * MILLISECONDS_PER_S))


def newest_rollout(state: State, service: str) -> Rollout | None:
    """Return the newest rollout of a service in a committed state, or None.

    >>> from .control_state import State
    >>> newest_rollout(State({}), "s")
    """
    return state.rollouts.newest.get(service) if state.rollouts else None


def describe_rollout(rollout: Rollout) -> dict[str, Any]:
    """Return a rollout's state as reported to operators.

    >>> from sparloom.rollouts import Rollout
    >>> describe_rollout(Rollout(1, "s", "v2", 9000, 0, ("v1",)))["state"]
    'serving'
    """
    body = {
        "state": rollout.status.value,
        "targetVersion": rollout.target,
        "step": rollout.step.name.lower(),
        "share": rollout.traffic_fraction,
    }
    return {**body, "reason": rollout.reason} if rollout.reason else body


NO_ROLLOUT = (HTTPStatus.NOT_FOUND, "the service has no rollout")
