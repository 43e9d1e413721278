"""Updates of the duties' state, judged against a committed control state. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sparloom.duties import DutyState

from .change_requests import Judgement, Verdict

if TYPE_CHECKING:
    from sparloom.duties import DutyUpdate

    from .control_state import State


def judge_duties(state: State, update: DutyUpdate) -> Judgement:
    """What becomes of an update upon a committed state.

    >>> from sparloom.duties import DutyUpdate
    >>> from .control_state import State
    >>> judge_duties(State({}), DutyUpdate("core-1", claim=True)).verdict.name
    'NEW'
    >>> judge_duties(State({}), DutyUpdate("core-1")).verdict.name
    'STALE'
    """
    before = state.duties or DutyState()
    duties = update.apply(before)
    if duties is None:
        return Judgement(Verdict.STALE)
    if duties == before:
        return Judgement(Verdict.ALREADY_COMMITTED)
    return Judgement(Verdict.NEW, state.with_duties(duties))
