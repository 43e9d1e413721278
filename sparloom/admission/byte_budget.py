"""The account of the bytes that a process keeps for its peers.

Each peer may make the process keep some bytes: a request body until it is
answered, an answer until it is parsed. A bound for each of them alone doesn't
bound their sum, so all of them are granted from one ``ByteBudget``. When it is
used up, slow senders are evicted, and otherwise the new bytes are refused.

The budget does no I/O: the caller passes the time.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

MEBIBYTE = 1 << 20
# Memory that a process needs for itself: code, configuration, endpoint list, membership, counts.
OWN_MEMORY_BYTES = 128 * MEBIBYTE
# On a machine with little memory, the budget is at least this fraction of it.
MINIMUM_FRACTION = 1 / 4
# Holdings up to this size may use the whole budget.
SMALL_HOLDING_BYTES = 64 << 10
# The fraction of the budget that larger holdings may use together with all others.
LARGE_FRACTION = 3 / 4
# A sender is slow if it has sent nothing for this long, or too little since it began.
STALL = timedelta(seconds=1)
MINIMUM_RATE_BYTES_PER_S = 16 << 10


class HoldingKind(Enum):
    """What the bytes of a holding are; the values are the names in the beliefs."""

    REQUEST_HEADS = "requestHeads"
    REQUEST_BODIES = "requestBodies"
    RESPONSES = "responses"
    ANSWERS = "answers"
    FRAMES = "frames"


@define(slots=True, eq=False)
class Holding:
    """The bytes that are kept for one peer and purpose.

    Attributes
    ----------
    kind, peer
        What the bytes are, and whose.
    started_at
        When the holding was opened.
    evict
        Called when the bytes are to be given up for others; None once they may not be.
    size
        The granted bytes.
    received
        The bytes that the peer has sent so far.
    progressed_at
        When bytes last arrived.
    evicted
        Whether the grant was taken back.
    """

    kind: HoldingKind
    peer: str
    started_at: timedelta
    evict: Callable[[], None] | None = None
    size: int = 0
    received: int = 0
    progressed_at: timedelta = field(init=False)
    evicted: bool = False

    def __attrs_post_init__(self) -> None:
        self.progressed_at = self.started_at

    def record_progress(self, count: int, now: timedelta) -> None:
        """Record bytes that have arrived."""
        self.received += count
        self.progressed_at = now

    def mean_rate(self, now: timedelta) -> float:
        """Return the bytes received per second since the holding was opened."""
        return self.received / max((now - self.started_at).total_seconds(), STALL.total_seconds())

    def is_evictable(self, now: timedelta) -> bool:
        """Whether the sender is slow and its bytes may be given up."""
        if self.evict is None or not self.size or now - self.started_at < STALL:
            return False
        return now - self.progressed_at >= STALL or self.mean_rate(now) < MINIMUM_RATE_BYTES_PER_S


def capacity_bytes(memory_mb: int) -> int:
    """Return the budget of a process on a machine with this memory.

    >>> [capacity_bytes(memory_mb) >> 20 for memory_mb in (100, 200, 300)]
    [25, 72, 172]
    """
    memory_bytes = memory_mb * MEBIBYTE
    return max(memory_bytes - OWN_MEMORY_BYTES, int(memory_bytes * MINIMUM_FRACTION))


@define(slots=True, eq=False)
class ByteBudget:
    """Grants bytes to holdings, in sum at most ``capacity``.

    One exception: a holding that is alone may be larger, so that a single
    request within the limits of the configuration is always served.

    Attributes
    ----------
    capacity
        The bytes that may be granted together.
    held
        The bytes that are granted now.
    worst_held
        The most bytes that were granted at a time.
    refusals, evictions
        How many requests for bytes were refused, and how many holdings were evicted.

    Examples
    --------
    >>> budget, now = ByteBudget(100), timedelta(0)
    >>> first, second = (budget.open(HoldingKind.ANSWERS, "peer", now) for _ in range(2))
    >>> budget.resize(first, 60, now), budget.resize(second, 60, now), budget.resize(second, 40, now)
    (True, False, True)
    >>> budget.close(first); budget.close(second); budget.held
    0
    """

    capacity: int
    held: int = 0
    worst_held: int = 0
    refusals: int = 0
    evictions: int = 0
    _holdings: set[Holding] = field(factory=set)

    def open(self, kind: HoldingKind, peer: str, now: timedelta, evict: Callable[[], None] | None = None) -> Holding:
        """Return a new holding without bytes; ``evict`` is called if its bytes are needed for others."""
        holding = Holding(kind, peer, now, evict)
        self._holdings.add(holding)
        return holding

    def resize(self, holding: Holding, size: int, now: timedelta) -> bool:
        """Change the bytes granted to a holding; return False if it would need more than there are.

        A holding that was evicted or closed gets none.
        """
        if holding not in self._holdings:
            return False
        growth = size - holding.size
        if growth > 0 and not self._make_room(holding, size, now):
            self.refusals += 1
            return False
        holding.size = size
        self.held += growth
        self.worst_held = max(self.worst_held, self.held)
        return True

    def close(self, holding: Holding) -> None:
        """Return all bytes of a holding; no effect if they were returned before."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held -= holding.size
            holding.size = 0

    def figures(self) -> dict[str, int]:
        """Return the bytes held, by kind, and what was refused and evicted, under the names of the beliefs."""
        by_kind = {kind.value: 0 for kind in HoldingKind}
        for holding in self._holdings:
            by_kind[holding.kind.value] += holding.size
        return {
            "capacity": self.capacity,
            "held": self.held,
            "worst": self.worst_held,
            "refusals": self.refusals,
            "evictions": self.evictions,
            **by_kind,
        }

    def _make_room(self, holding: Holding, size: int, now: timedelta) -> bool:
        """Evict slow senders until a holding may have this size; return whether it may."""
        others = self.held - holding.size
        usable = self.capacity if size <= SMALL_HOLDING_BYTES else int(self.capacity * LARGE_FRACTION)
        if others + size <= usable or not others:
            return True
        victims = self._victims(holding, others + size - usable, now)
        for victim in victims:
            self._evict(victim)
        return bool(victims)

    def _victims(self, holding: Holding, needed: int, now: timedelta) -> list[Holding]:
        """Return the slowest senders that hold the needed bytes together; none if all of them hold less."""
        slow = [other for other in self._holdings if other is not holding and other.is_evictable(now)]
        slow.sort(key=lambda other: (other.mean_rate(now), -other.size))
        found = 0
        for index, other in enumerate(slow):
            found += other.size
            if found >= needed:
                return slow[: index + 1]
        return []

    def _evict(self, victim: Holding) -> None:
        self.evictions += 1
        victim.evicted = True
        self.close(victim)
        if victim.evict is not None:
            victim.evict()


# The budget of this process; its capacity is set from the startup file.
_process_budget = ByteBudget(OWN_MEMORY_BYTES)


def process_budget() -> ByteBudget:
    """Return the budget of this process.

    >>> process_budget() is process_budget()
    True
    """
    return _process_budget


def set_process_memory(memory_mb: int) -> None:
    """Set the capacity of the process's budget by the memory of its machine."""
    _process_budget.capacity = capacity_bytes(memory_mb)
