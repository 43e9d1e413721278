"""Evaluates the operators' orders to evacuate or restore a zone against a committed state, without I/O.

An ``EvacuationOrder`` contains the desired state and no base revision. It is
therefore idempotent: a retry is acknowledged, and the last committed order for
a zone wins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from .change_requests import ChangeEvaluation, ChangeVerdict

if TYPE_CHECKING:
    from collections.abc import Collection

    from .control_state import State

MAXIMUM_ZONE_LENGTH = 255


@define(frozen=True, slots=True)
class EvacuationOrder:
    """An order to evacuate or restore one zone.

    Attributes
    ----------
    zone : str
        The zone's name.
    evacuate : bool
        True to stop all requests to the runners of the zone, False to put it back in service.
    """

    zone: str
    evacuate: bool

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other order.

        >>> EvacuationOrder("z", True).is_retry_of(EvacuationOrder("z", False))
        False
        """
        return self == other


def zone_fault(zone: str, known: Collection[str]) -> str | None:
    """The error message for an invalid zone name; None if the name is valid.

    Parameters
    ----------
    known
        The zones listed in the startup file; if it lists none, any name is valid.

    >>> zone_fault("z", ("z",)), zone_fault("y", ("z",)), zone_fault("", ())
    (None, 'the zone y is unknown', 'the path names no zone')
    """
    if not zone or "/" in zone:
        return "the path names no zone"
    if len(zone) > MAXIMUM_ZONE_LENGTH:
        return f"the zone's name is longer than {MAXIMUM_ZONE_LENGTH} characters"
    return f"the zone {zone} is unknown" if known and zone not in known else None


def evaluate_evacuation(state: State, order: EvacuationOrder) -> ChangeEvaluation:
    """Evaluates an order against a committed state.

    >>> from .control_state import State
    >>> first = evaluate_evacuation(State({}), EvacuationOrder("z", True))
    >>> first.verdict.name, evaluate_evacuation(first.state, EvacuationOrder("z", True)).verdict.name
    ('NEW', 'ALREADY_COMMITTED')
    """
    if (order.zone in state.evacuated) is order.evacuate:
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    return ChangeEvaluation(
        ChangeVerdict.NEW, state.evacuate(order.zone) if order.evacuate else state.restore(order.zone)
    )
