"""Admission control for one service at one router.

``AdmissionController`` admits a request out of its member's reserve or out of
the common part of the capacity, queues it per member, or rejects it.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .reserve import NO_EXCESS, NO_USAGE, Excess, Reserves, Usage

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Member of all requests that no declared member owns.
UNDECLARED = ""
UNDECLARED_LABEL = "(others)"
# Maximum number of queued requests per member.
QUEUE_LIMIT = 64
# Lower bound of the Retry-After of a rejection.
MINIMUM_RETRY_AFTER = timedelta(milliseconds=20)
# Weight of the newest request in the exponential moving average of the duration.
DURATION_WEIGHT = 0.1


@define(frozen=True, slots=True)
class Demand:
    """Capacity that a request needs in addition to its slot: prompt tokens."""

    tokens: int = 0


@define(frozen=True, slots=True)
class Capacity:
    """Capacity of this router: slots and prompt tokens. With 0 tokens, tokens are not limited."""

    slots: int
    tokens: int = 0


@define(frozen=True, slots=True)
class Admitted:
    """The request may be forwarded; ``reserved``: its slot is part of its member's reserve."""

    id: int
    reserved: bool = False


@define(frozen=True, slots=True)
class Queued:
    """The request waits in its member's queue."""

    id: int


@define(frozen=True, slots=True)
class Rejected:
    """The request can't be served in time; the client may retry after ``retry_after``."""

    id: int
    retry_after: timedelta


@define(slots=True)
class _Request:
    """A queued or admitted request; ``tokens``: the tokens charged for it."""

    id: int
    member: str
    priority: int
    received_at: timedelta
    demand: Demand
    deadline: timedelta
    admitted_at: timedelta = timedelta(0)
    tokens: int = 0


@define(frozen=True, slots=True)
class _Fit:
    """Result of a possible admission: the tokens charged, the member's usage and all members' excess."""

    tokens: int
    usage: Usage
    excess: Excess


def _queue_order(request: _Request) -> tuple[int, timedelta]:
    return request.priority, request.received_at


@define(slots=True)
class AdmissionController:
    """Admits, queues and rejects requests.

    Only the member itself can use its reserve. Requests beyond the reserve compete
    for the common part by priority and then by age. Reserves are never lent out,
    so a flood of requests fills only the common part and its own member's reserve.
    The use of all members beyond their reserves is maintained as a running sum,
    so the cost of an admission doesn't depend on the number of members.

    Attributes
    ----------
    capacity : capacity of this router.
    reserve_fractions : each member's reserve as a fraction of the capacity (0 to 1).
    queue_limit : maximum number of queued requests per member.
    admitted : admitted requests in progress, by id.
    usage : usage by member; members without admitted requests are absent.
    queues : queued requests by member, the next one first.
    rejections : number of rejected requests by member.
    mean_duration : moving average of the time that requests hold a slot.
    extra_slots : slots added to the common part while the fleet has free
        capacity (``FleetSize.surplus``); they are not taken from any reserve.
    reserves : division of the capacity into reserves and the common part.
    excess : running sum of the use beyond the reserves, over all members.

    >>> controller = AdmissionController(Capacity(4), {"a": 0.5, "b": 0.25}); now = timedelta(0)
    >>> [type(controller.acquire(now, i, "b", 0, Demand(), timedelta(9))).__name__ for i in range(3)]
    ['Admitted', 'Admitted', 'Queued']
    >>> type(controller.acquire(now, 9, "a", 0, Demand(), timedelta(9))).__name__
    'Admitted'
    """

    capacity: Capacity
    reserve_fractions: Mapping[str, float]
    queue_limit: int = QUEUE_LIMIT
    admitted: dict[int, _Request] = field(factory=dict)
    usage: dict[str, Usage] = field(factory=dict)
    queues: dict[str, list[_Request]] = field(factory=dict)
    rejections: dict[str, int] = field(factory=dict)
    mean_duration: timedelta = timedelta(0)
    extra_slots: int = 0
    reserves: Reserves = field(init=False)
    excess: Excess = field(init=False, default=NO_EXCESS)

    def __attrs_post_init__(self) -> None:
        self._compute_reserves()

    def _compute_reserves(self) -> None:
        """Computes the reserves, the common part and the excess; called when capacity or reserve fractions change."""
        self.reserves = Reserves.of(self.capacity.slots, self.capacity.tokens, self.reserve_fractions)
        excesses = [self.reserves.excess(member, usage) for member, usage in self.usage.items()]
        self.excess = Excess(
            sum(excess.slots for excess in excesses),
            sum(excess.fractions for excess in excesses),
            sum(excess.tokens for excess in excesses),
        )

    def _usage_of(self, member: str) -> Usage:
        return self.usage.get(member, NO_USAGE)

    def _excess_with(self, member: str, usage: Usage) -> Excess:
        """Returns the running sum with this member's usage replaced."""
        total = self.excess
        old, new = self.reserves.excess(member, self._usage_of(member)), self.reserves.excess(member, usage)
        return Excess(
            total.slots - old.slots + new.slots,
            total.fractions - old.fractions + new.fractions,
            total.tokens - old.tokens + new.tokens,
        )

    def _fit(self, member: str, demand: Demand) -> _Fit | None:
        """Returns the result of admitting a request, or None if the capacity doesn't suffice.

        A request that needs more tokens than its member can ever use is charged that maximum instead.
        """
        reserves, usage = self.reserves, self._usage_of(member)
        token_limit = reserves.tokens.get(member, 0) + reserves.common.tokens
        tokens = min(demand.tokens, token_limit) if self.capacity.tokens else 0
        new_usage = Usage(usage.slots + 1, usage.tokens + tokens)
        excess = self._excess_with(member, new_usage)
        common = reserves.common_slots_used(excess)
        # After a capacity change the common part may be over-committed.
        # Requests that don't use more of it are still admitted.
        if common > reserves.common.slots + self.extra_slots and common > reserves.common_slots_used(self.excess):
            return None
        if self.capacity.tokens and excess.tokens > reserves.common.tokens and excess.tokens > self.excess.tokens:
            return None
        return _Fit(tokens, new_usage, excess)

    def fits(self, member: str, demand: Demand) -> bool:
        """Returns whether a request of a member can be admitted now.

        >>> AdmissionController(Capacity(0), {}).fits("a", Demand())
        False
        """
        return self._fit(member, demand) is not None

    def is_saturated(self) -> bool:
        """Returns whether the common part is exhausted, so that only ``extra_slots`` remain.

        >>> AdmissionController(Capacity(1), {}).is_saturated()
        False
        """
        return self.reserves.common_slots_used(self.excess) >= self.reserves.common.slots

    def _expected_wait(self, member: str) -> timedelta:
        queue_length = len(self.queues.get(member, ()))
        return self.mean_duration * ((queue_length + 1) / max(1, self.reserves.maximum(member)))

    def acquire(
        self, now: timedelta, id: int, member: str, priority: int, demand: Demand, deadline: timedelta
    ) -> Admitted | Queued | Rejected:
        """Admits, queues or rejects a new request.

        Parameters
        ----------
        member : the member that owns the request; an undeclared member has no reserve.
        priority : requests with a lower number are admitted first.
        deadline : when the client stops waiting.

        >>> type(AdmissionController(Capacity(0), {}).acquire(timedelta(0), 1, "a", 0, Demand(), timedelta(0))).__name__
        'Rejected'
        """
        request = _Request(
            id, member if member in self.reserve_fractions else UNDECLARED, priority, now, demand, deadline
        )
        queue = self.queues.setdefault(request.member, [])
        # A new request does not overtake queued requests of its own member.
        fit = None if queue else self._fit(request.member, demand)
        if fit:
            return self._admit(now, request, fit)
        wait = self._expected_wait(request.member)
        if len(queue) >= self.queue_limit or now + wait + self.mean_duration / 2 >= deadline:
            return self._reject(request, wait)
        queue.append(request)
        queue.sort(key=_queue_order)
        return Queued(id)

    def _reject(self, request: _Request, wait: timedelta) -> Rejected:
        self.rejections[request.member] = self.rejections.get(request.member, 0) + 1
        return Rejected(request.id, max(wait, MINIMUM_RETRY_AFTER))

    def _admit(self, now: timedelta, request: _Request, fit: _Fit) -> Admitted:
        member = request.member
        reserved = self.reserves.covers_next_slot(member, self._usage_of(member), self.excess)
        request.admitted_at, request.tokens = now, fit.tokens
        self.usage[member], self.excess = fit.usage, fit.excess
        self.admitted[request.id] = request
        return Admitted(request.id, reserved)

    def release(self, now: timedelta, id: int) -> list[Admitted]:
        """Removes a request that has ended or whose client has disconnected; returns the resulting admissions.

        >>> AdmissionController(Capacity(0), {}).release(timedelta(0), 1)
        []
        """
        request = self.admitted.pop(id, None)
        if request is None:
            self.queues = {
                member: [waiting for waiting in queue if waiting.id != id] for member, queue in self.queues.items()
            }
            return []
        old = self.usage[request.member]
        usage = Usage(old.slots - 1, old.tokens - request.tokens)
        self.excess = self._excess_with(request.member, usage)
        if usage.slots > 0:
            self.usage[request.member] = usage
        else:
            del self.usage[request.member]
        self._record_duration(now - request.admitted_at)
        return self._admit_waiting(now)

    def _record_duration(self, duration: timedelta) -> None:
        if not self.mean_duration:
            self.mean_duration = duration
        else:
            self.mean_duration = self.mean_duration * (1 - DURATION_WEIGHT) + duration * DURATION_WEIGHT

    def _admission_order(self, request: _Request) -> tuple[bool, int, timedelta]:
        """Sort key: requests that a reserve covers first, then by priority and age."""
        member = request.member
        reserved = self.reserves.covers_next_slot(member, self._usage_of(member), self.excess)
        return not reserved, request.priority, request.received_at

    def _admit_waiting(self, now: timedelta) -> list[Admitted]:
        admissions = []
        while any(self.queues.values()):
            first_in_queue = sorted((queue[0] for queue in self.queues.values() if queue), key=self._admission_order)
            fits = ((first, self._fit(first.member, first.demand)) for first in first_in_queue)
            request, fit = next(((first, fit) for first, fit in fits if fit), (None, None))
            if request is None or fit is None:
                break
            self.queues[request.member].pop(0)
            admissions.append(self._admit(now, request, fit))
        return admissions

    def tick(
        self, now: timedelta, capacity: Capacity | None = None, reserve_fractions: Mapping[str, float] | None = None
    ) -> list[Admitted | Rejected]:
        """Applies a new capacity or new reserve fractions, rejects late requests and admits queued ones.

        Returns the decisions.

        >>> AdmissionController(Capacity(1), {}).tick(timedelta(0))
        []
        """
        self._reconfigure(
            capacity or self.capacity, self.reserve_fractions if reserve_fractions is None else reserve_fractions
        )
        if not any(self.queues.values()):
            return []
        margin = self.mean_duration / 2
        late = [request for queue in self.queues.values() for request in queue if now + margin >= request.deadline]
        for request in late:
            self.queues[request.member].remove(request)
        return [*(self._reject(request, self.mean_duration) for request in late), *self._admit_waiting(now)]

    def _reconfigure(self, capacity: Capacity, reserve_fractions: Mapping[str, float]) -> None:
        if (capacity, reserve_fractions) == (self.capacity, self.reserve_fractions):
            return
        self.capacity, self.reserve_fractions = capacity, reserve_fractions
        self._compute_reserves()
        for member in [name for name in self.queues if name not in reserve_fractions and name != UNDECLARED]:
            self._move_to_undeclared(self.queues.pop(member))

    def _move_to_undeclared(self, requests: Iterable[_Request]) -> None:
        moved = list(requests)
        for request in moved:
            request.member = UNDECLARED
        self.queues[UNDECLARED] = sorted(self.queues.get(UNDECLARED, []) + moved, key=_queue_order)

    def statistics(self, now: timedelta) -> dict[str, dict[str, float]]:
        """Returns statistics per member; a reserve may be a fraction of a slot.

        >>> AdmissionController(Capacity(8), {"a": 0.5}).statistics(timedelta(0))["a"]["reserve"]
        4.0
        """
        return {
            member or UNDECLARED_LABEL: self._member_statistics(now, member)
            for member in {**self.reserve_fractions, **self.usage}
        }

    def _member_statistics(self, now: timedelta, member: str) -> dict[str, float]:
        queue = self.queues.get(member, ())
        ages = (int((now - request.received_at) / timedelta(milliseconds=1)) for request in queue)
        return {
            "reserve": round(self.capacity.slots * self.reserve_fractions.get(member, 0), 2),
            "used": self._usage_of(member).slots,
            "queue": len(queue),
            "oldestMs": max(ages, default=0),
            "refused": self.rejections.get(member, 0),
        }
