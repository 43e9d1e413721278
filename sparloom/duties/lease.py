"""Computes when a new holder of the duties may make its first call."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


def earliest_action(
    node: str, previous_holder: str, own_earliest_action: timedelta | None, now: timedelta, wait: timedelta
) -> timedelta:
    """Return the earliest time at which a node may act after committing its claim now.

    The previous holder may have acted until now, and calls of two holders must
    not alternate within one lease. A node that succeeds itself continues, but
    not before the wait of its earlier claim has ended.

    Parameters
    ----------
    node
        The new holder.
    previous_holder
        The holder of the previous committed claim; "" if there was none.
    own_earliest_action
        The result of this function for the node's last claim; None if its process has no record of it.
    now
        The monotonic time.
    wait
        The lease plus the time after it in which a previous holder that was paused may still act.

    >>> from datetime import timedelta
    >>> second = timedelta(seconds=1)
    >>> earliest_action("a", "b", None, 5 * second, 3 * second) == 8 * second
    True
    >>> earliest_action("a", "a", 8 * second, 6 * second, 3 * second) == 8 * second
    True
    >>> earliest_action("a", "", None, 5 * second, 3 * second) == 5 * second
    True
    """
    if not previous_holder:
        return now
    if previous_holder == node and own_earliest_action is not None:
        return max(now, own_earliest_action)
    return now + wait
