"""Capacity that is left free for more urgent queues: as much as they used a short while ago and don't use now.

Ways weighed: none (urgent tasks then wait until long ones of other queues
end), a fixed part (wasted where nothing urgent comes, too little elsewhere),
stopping what runs (work is thrown away), and this: a recent peak, which
decays, less the present use. It adapts to the load and throws nothing away;
what goes beyond the recent peak still waits.
"""

from __future__ import annotations

from attrs import define, field

# The recent peak loses half of itself in so many seconds.
HALF_LIFE_S = 8.0


@define(slots=True, eq=False)
class _Use:
    """What one priority uses.

    Attributes
    ----------
    cpu
        Thousandths of a core in use now.
    peak, peak_at
        The recent peak, and when that figure was noted, in seconds.
    """

    cpu: int = 0
    peak: float = 0.0
    peak_at: float = 0.0

    def recent_peak(self, now: float) -> float:
        """Return the decayed peak, at least the present use."""
        decayed: float = self.peak * 0.5 ** ((now - self.peak_at) / HALF_LIFE_S)
        return max(float(self.cpu), decayed)


@define(slots=True, eq=False)
class Headroom:
    """The processor that one service's tasks use, by the priority of their queues.

    >>> headroom = Headroom()
    >>> headroom.note(0, 4000, 10.0); headroom.note(0, -3000, 10.0)
    >>> headroom.used, headroom.reserved_from(1, 10.0), headroom.reserved_from(0, 10.0)
    (1000, 3000.0, 0.0)
    >>> headroom.reserved_from(1, 10.0 + HALF_LIFE_S)
    1000.0
    """

    used: int = 0
    _by_priority: dict[int, _Use] = field(factory=dict)

    def note(self, priority: int, cpu: int, now: float) -> None:
        """Note that tasks of a priority use more processor, or less."""
        use = self._by_priority.setdefault(priority, _Use())
        peak = use.recent_peak(now)
        use.cpu += cpu
        self.used += cpu
        use.peak, use.peak_at = max(peak, float(use.cpu)), now

    def reserved_from(self, priority: int, now: float) -> float:
        """Return the processor that tasks of a priority must leave free for more urgent ones."""
        return sum(use.recent_peak(now) - use.cpu for other, use in self._by_priority.items() if other < priority)
