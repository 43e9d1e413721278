"""The operator's orders to evacuate a zone and to take it back, judged against a committed state. No I/O.

An order names the state that it wants, and no state that it builds on: sent
again it is acknowledged, and of two operators the one whose order is committed
last has its way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from .change_requests import Judgement, Verdict

if TYPE_CHECKING:
    from collections.abc import Collection

    from .control_state import State

MAXIMUM_ZONE_LENGTH = 255


@define(frozen=True, slots=True)
class EvacuationOrder:
    """An order about one zone.

    Attributes
    ----------
    zone : str
        The zone's name.
    evacuate : bool
        Whether its runners are to be sent nothing; else it is taken back.
    """

    zone: str
    evacuate: bool

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other order, sent again.

        >>> EvacuationOrder("z", True).is_retry_of(EvacuationOrder("z", False))
        False
        """
        return self == other


def zone_fault(zone: str, known: Collection[str]) -> str | None:
    """What is wrong with the name of a zone to evacuate, in one sentence; None where it is sound.

    Parameters
    ----------
    known
        The zones that the startup file names; where it names none, any name is taken.

    >>> zone_fault("z", ("z",)), zone_fault("y", ("z",)), zone_fault("", ())
    (None, 'the zone y is unknown', 'the path names no zone')
    """
    if not zone or "/" in zone:
        return "the path names no zone"
    if len(zone) > MAXIMUM_ZONE_LENGTH:
        return f"the zone's name is longer than {MAXIMUM_ZONE_LENGTH} characters"
    return f"the zone {zone} is unknown" if known and zone not in known else None


def judge_evacuation(state: State, order: EvacuationOrder) -> Judgement:
    """What becomes of an order upon a committed state.

    >>> from .control_state import State
    >>> first = judge_evacuation(State({}), EvacuationOrder("z", True))
    >>> first.verdict.name, judge_evacuation(first.state, EvacuationOrder("z", True)).verdict.name
    ('NEW', 'ALREADY_COMMITTED')
    """
    if (order.zone in state.evacuated) is order.evacuate:
        return Judgement(Verdict.ALREADY_COMMITTED)
    return Judgement(Verdict.NEW, state.evacuate(order.zone) if order.evacuate else state.restore(order.zone))
