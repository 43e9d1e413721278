"""When a holder that has just claimed the duties may act for the first time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


def first_act(
    node: str, previous_holder: str, own_first_act: timedelta | None, now: timedelta, wait: timedelta
) -> timedelta:
    """Return from when on a node may act that has committed its claim now.

    The previous holder may have acted until now, and two holders must not take
    turns within a lease. A node that held the duties itself goes on, but not
    before the wait that its earlier claim began is over.

    Parameters
    ----------
    node
        The new holder.
    previous_holder
        The node whose claim was committed before; "" if there was none.
    own_first_act
        What this returned for the node's last claim; None where its process doesn't know.
    now
        The monotonic clock.
    wait
        The lease, and how late a holder that stood still may act after it.

    >>> from datetime import timedelta
    >>> second = timedelta(seconds=1)
    >>> first_act("a", "b", None, 5 * second, 3 * second) == 8 * second
    True
    >>> first_act("a", "a", 8 * second, 6 * second, 3 * second) == 8 * second
    True
    >>> first_act("a", "", None, 5 * second, 3 * second) == 5 * second
    True
    """
    if not previous_holder:
        return now
    if previous_holder == node and own_first_act is not None:
        return max(now, own_first_act)
    return now + wait
