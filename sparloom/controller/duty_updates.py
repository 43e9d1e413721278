"""Evaluates updates of the duties against the committed control state. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sparloom.duties import DutyState

from .change_requests import ChangeEvaluation, ChangeVerdict

if TYPE_CHECKING:
    from sparloom.duties import DutyUpdate

    from .control_state import State


def evaluate_duty_update(state: State, update: DutyUpdate) -> ChangeEvaluation:
    """Return the verdict on an update of the duties based on a committed state, and the new state if there is one.

    >>> from sparloom.duties import DutyUpdate
    >>> from .control_state import State
    >>> evaluate_duty_update(State({}), DutyUpdate("core-1", claim=True)).verdict.name
    'NEW'
    >>> evaluate_duty_update(State({}), DutyUpdate("core-1")).verdict.name
    'STALE'
    """
    current = state.duties or DutyState()
    duties = update.apply(current)
    if duties is None:
        return ChangeEvaluation(ChangeVerdict.STALE)
    if duties == current:
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    return ChangeEvaluation(ChangeVerdict.NEW, state.with_duties(duties))
