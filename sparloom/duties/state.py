"""The durable state of the duties: the holder, its fencing tokens, and the reports and orders to send.

``DutyState`` is part of the control state; a ``DutyUpdate`` changes it. All
that is sent to the platform is committed here first, so that a successor sends
exactly the same. A committed fencing token (``fence``) belongs to one holder:
no other holder can commit it again.
"""

from __future__ import annotations

from typing import Any

from attrs import define, evolve, field

# Limit of decided windows that the platform has not acknowledged. The counts of further windows stay at the routers.
MAX_PENDING_WINDOWS = 64


@define(frozen=True, slots=True)
class DecidedWindow:
    """The committed usage report of one window; each holder sends the same.

    Attributes
    ----------
    number
        The window's number.
    counts
        Number of requests that began in the window, by tenant.
    """

    number: int
    counts: dict[str, int] = field(factory=dict)


@define(frozen=True, slots=True)
class ScaleOrder:
    """The newest order that sets the number of runners of a service in a zone.

    Attributes
    ----------
    service, zone
        The service and the zone that are scaled.
    desired
        Desired number of runners.
    fence
        The fencing token with which the order is sent; unique to the order.
    """

    service: str
    zone: str
    desired: int
    fence: int = 0

    @property
    def subject(self) -> tuple[str, str]:
        """The service and the zone, which identify the order."""
        return self.service, self.zone


@define(frozen=True, slots=True)
class DutyState:
    """The committed state of the duties.

    Attributes
    ----------
    holder
        The name of the node that holds the duties; "" before the first claim.
    fence
        The highest fencing token that was issued.
    usage_fence
        The fencing token of the current holder's usage reports.
    previous_holder
        The holder of the previous claim, which may be the same node; "" if there was none.
    next_window
        The first window that is not decided; 0 before the first claim.
    windows
        Decided windows that the platform is not known to have acknowledged, in ascending order.
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
        """Return the state after a node claims the duties, with new fencing tokens for its reports and all orders."""
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
        """Return the state after deciding the windows that follow the last decided one."""
        return evolve(self, next_window=self.next_window + len(windows), windows=self.windows + windows)

    def acknowledge(self, through: int) -> DutyState:
        """Return the state without the windows up to ``through``, which the platform has acknowledged."""
        return evolve(self, windows=tuple(window for window in self.windows if window.number > through))

    def order(self, new_orders: tuple[ScaleOrder, ...]) -> DutyState:
        """Return the state with newer orders; each gets the next fencing token."""
        orders, fence = {order.subject: order for order in self.orders}, self.fence
        for order in new_orders:
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
        """Return the state from a JSON object that ``to_json`` returned."""
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
    """A change of the duties' state that a node asks to commit.

    Attributes
    ----------
    holder
        The node that asks for the change.
    claim
        Whether the node claims the duties. Otherwise it must hold them with ``usage_fence``.
    usage_fence
        The fencing token of the node's claim.
    first_window
        In a claim: the first window to decide if none was decided before.
    windows
        Windows to decide, in ascending order from the first undecided one.
    acknowledged_through
        The platform has acknowledged the windows up to this number.
    orders
        Newer orders; they get their fencing tokens at the commit.
    """

    holder: str
    claim: bool = False
    usage_fence: int = 0
    first_window: int = 0
    windows: tuple[DecidedWindow, ...] = ()
    acknowledged_through: int = 0
    orders: tuple[ScaleOrder, ...] = ()

    def is_retry_of(self, other: object) -> bool:
        """Return whether this is the same update object; each update is made once, from the committed state.

        >>> DutyUpdate("a", claim=True).is_retry_of(DutyUpdate("a", claim=True))
        False
        """
        return self is other

    def apply(self, state: DutyState) -> DutyState | None:
        """Return the state after the update; None if the update is not based on this state.

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
