"""The durable state of the duties: who holds them, under which fence, and what was decided and is to be sent.

It is part of the control state. Whatever goes to the platform was committed
here first, so that a successor sends just the same, and a fence that was
committed belongs to one holder: no other can commit it again.
"""

from __future__ import annotations

from typing import Any

from attrs import define, evolve, field

# Windows that are decided and not yet acknowledged by the platform; further ones wait at the routers.
MAXIMUM_WINDOWS = 64


@define(frozen=True, slots=True)
class DecidedWindow:
    """The report of one window, as it is sent by whoever sends it.

    Attributes
    ----------
    number
        The window's number.
    counts
        The requests of each tenant that began in it.
    """

    number: int
    counts: dict[str, int] = field(factory=dict)


@define(frozen=True, slots=True)
class ScaleOrder:
    """The newest order about the runners of a service in a zone.

    Attributes
    ----------
    service, zone
        What it is about.
    desired
        How many runners there are to be.
    fence
        The fence under which it is sent; each order has one of its own.
    """

    service: str
    zone: str
    desired: int
    fence: int = 0

    @property
    def subject(self) -> tuple[str, str]:
        """Service and zone."""
        return self.service, self.zone


@define(frozen=True, slots=True)
class DutyState:
    """What is decided about the duties.

    Attributes
    ----------
    holder
        The name of the node that holds them; "" before the first.
    fence
        The highest fence that was given out.
    usage_fence
        The fence of the present holder's reports of usage.
    previous_holder
        The node whose claim came before the present one, or the same node; "" if there was none.
    next_window
        The first window that is not decided; 0 before the first holder.
    windows
        Decided windows that the platform isn't known to have, ascending.
    orders
        The newest order for each service and zone.

    >>> state = DutyState().claim("core-1", first_window=7)
    >>> state.fence, state.next_window, DutyState.from_json(state.to_json()) == state
    (1, 7, True)
    """

    holder: str = ""
    fence: int = 0
    usage_fence: int = 0
    next_window: int = 0
    windows: tuple[DecidedWindow, ...] = ()
    orders: tuple[ScaleOrder, ...] = ()
    previous_holder: str = ""

    def claim(self, holder: str, first_window: int) -> DutyState:
        """Return the state once a node has taken the duties over, with fences of its own for reports and orders."""
        fence = self.fence + 1
        next_window = self.next_window or first_window
        claimed = evolve(
            self,
            holder=holder,
            previous_holder=self.holder,
            fence=fence,
            usage_fence=fence,
            next_window=next_window,
        )
        return claimed.order(self.orders)

    def decide(self, windows: tuple[DecidedWindow, ...]) -> DutyState:
        """Return the state once further windows are decided, which follow on those before."""
        return evolve(self, next_window=self.next_window + len(windows), windows=self.windows + windows)

    def acknowledge(self, through: int) -> DutyState:
        """Return the state without the windows up to a number: the platform has them."""
        return evolve(self, windows=tuple(window for window in self.windows if window.number > through))

    def order(self, wanted: tuple[ScaleOrder, ...]) -> DutyState:
        """Return the state with newer orders; each is given the next fence."""
        orders, fence = {order.subject: order for order in self.orders}, self.fence
        for order in wanted:
            fence += 1
            orders[order.subject] = evolve(order, fence=fence)
        return evolve(self, fence=fence, orders=tuple(orders[subject] for subject in sorted(orders)))

    def to_json(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            "holder": self.holder,
            "fence": self.fence,
            "usageFence": self.usage_fence,
            "nextWindow": self.next_window,
            "windows": [[window.number, window.counts] for window in self.windows],
            "orders": [[order.service, order.zone, order.desired, order.fence] for order in self.orders],
            "previousHolder": self.previous_holder,
        }

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> DutyState:
        """Return the state in a JSON object that ``to_json`` has made."""
        return cls(
            item["holder"],
            item["fence"],
            item["usageFence"],
            item["nextWindow"],
            tuple(DecidedWindow(number, counts) for number, counts in item["windows"]),
            tuple(ScaleOrder(*fields) for fields in item["orders"]),
            item["previousHolder"],
        )


@define(frozen=True, slots=True)
class DutyUpdate:
    """A change of the duties' state that a holder wants committed.

    Attributes
    ----------
    holder
        The node that wants it.
    claim
        Whether it takes the duties over; otherwise it must hold them under ``usage_fence``.
    usage_fence
        The fence of its claim.
    first_window
        With a claim: the window to begin with, where none was decided before.
    windows
        Further windows, the first one that is not decided first.
    acknowledged_through
        The platform has the windows up to this number.
    orders
        Newer orders; their fences are given out as they are committed.
    """

    holder: str
    claim: bool = False
    usage_fence: int = 0
    first_window: int = 0
    windows: tuple[DecidedWindow, ...] = ()
    acknowledged_through: int = 0
    orders: tuple[ScaleOrder, ...] = ()

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update; each is made once, from what was committed before it.

        >>> DutyUpdate("a", claim=True).is_retry_of(DutyUpdate("a", claim=True))
        False
        """
        return self is other

    def apply(self, state: DutyState) -> DutyState | None:
        """Return the state after the update; None where it does not follow on this one.

        >>> claimed = DutyUpdate("a", claim=True, first_window=7).apply(DutyState())
        >>> DutyUpdate("a", usage_fence=1, windows=(DecidedWindow(7),)).apply(claimed).next_window
        8
        >>> DutyUpdate("a", usage_fence=1, windows=(DecidedWindow(8),)).apply(claimed) is None
        True
        >>> DutyUpdate("b", usage_fence=1).apply(claimed) is None
        True
        """
        if self.claim:
            return state.claim(self.holder, self.first_window)
        if (state.holder, state.usage_fence) != (self.holder, self.usage_fence):
            return None
        expected = tuple(range(state.next_window, state.next_window + len(self.windows)))
        if tuple(window.number for window in self.windows) != expected:
            return None
        return state.acknowledge(self.acknowledged_through).decide(self.windows).order(self.orders)
