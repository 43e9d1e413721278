"""Orders to start a run that were left without an answer: when none of them can be carried out any more.

A runner may carry such an order out seconds later. Its deadline alone is no
bound: whether a start is late, a runner may judge by the order's own deadline
or by the hold in force, which later calls extend. Two things are sure. A
runner that has taken the stop of a run turns every later start of that run
away; so a run is known never to have begun once a list that was asked for
after that lacks the run and its end. And a start that comes when the hold has
lapsed is late by any reckoning, as long as nobody extends the hold again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .events import HoldAnswered
    from .runners import Run

# An order that was given up is stopped again after so long, in seconds.
STOP_INTERVAL_S = 0.4
# Orders are carried out within seconds or never; an order this old counts as never, in seconds.
ORDER_LIFETIME_S = 30.0


def never_began(run: Run, answer: HoldAnswered, asked_at: float) -> bool:
    """Whether a list proves that a run has not begun and never will.

    Parameters
    ----------
    run
        A run that the list doesn't name, neither as running nor among the ends.
    answer
        The list.
    asked_at
        When the call for it was sent, in seconds.
    """
    return answer.complete and run.stop_confirmed_at is not None and asked_at > run.stop_confirmed_at


@define(slots=True)
class _Order:
    """An order to start a run that may be carried out yet."""

    number: int
    given_at: float
    stopped_at: float


@define(slots=True)
class UnsettledOrders:
    """Orders to one runner that may be carried out yet, though their runs were given up.

    The runs were given up because the runner's hold had surely lapsed. Until
    each order is settled, the hold must not be extended.

    >>> orders = UnsettledOrders(); orders.add("a", 1, now=0.0); list(orders.due(0.0)), bool(orders)
    ([('a', 1)], True)
    >>> orders.settle("a", 1); bool(orders)
    False
    """

    _orders: dict[str, _Order] = field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self._orders)

    def add(self, task: str, number: int, now: float) -> None:
        """Note an order to start a run of a task; numbers only rise."""
        self._orders[task] = _Order(number, now, now - STOP_INTERVAL_S)

    def due(self, now: float) -> Iterator[tuple[str, int]]:
        """Yield tasks and run numbers that are to be stopped now, and forget the orders that are too old."""
        for task, order in list(self._orders.items()):
            if now - order.given_at > ORDER_LIFETIME_S:
                del self._orders[task]
            elif now - order.stopped_at >= STOP_INTERVAL_S:
                order.stopped_at = now
                yield task, order.number

    def settle(self, task: str, number: int) -> None:
        """Note that the runner has taken the stop of a run."""
        order = self._orders.get(task)
        if order is not None and order.number <= number:
            del self._orders[task]
