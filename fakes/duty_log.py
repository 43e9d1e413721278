"""What a platform has seen of the duties, and what in it must not happen."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

OK = 200
FENCED = 409


@define(frozen=True, slots=True)
class DutyCall:
    """A call of a duty, as it came.

    Attributes
    ----------
    at
        Seconds on the log's clock.
    duty
        ``usage`` or ``scale``.
    subject
        "" for usage; service and zone for scaling.
    holder, fence
        As the headers say.
    body
        The JSON object.
    """

    at: float
    duty: str
    subject: str
    holder: str
    fence: int
    body: dict[str, Any]


@define(slots=True, eq=False)
class DutyLog:
    """Judges calls as a platform that checks fences, and remembers them.

    Attributes
    ----------
    clock
        Gives the time in seconds.
    lease_s
        Two holders must not take turns within it.
    calls, accepted
        All calls, and those that were answered 200.
    usage
        The counts of each window that were accepted.
    desired
        The number of runners that was ordered last, by service and zone.
    faults
        Sentences about what must not happen.

    >>> log = DutyLog(lambda: 0.0)
    >>> log.take("usage", "a", 2, {"windowNumber": 7, "counts": {"t": 1}})
    200
    >>> log.take("usage", "b", 1, {"windowNumber": 8, "counts": {}}), log.faults
    (409, [])
    >>> log.take("usage", "b", 2, {"windowNumber": 7, "counts": {}}), len(log.faults)
    (200, 2)
    """

    clock: Callable[[], float]
    lease_s: float = 3.0
    calls: list[DutyCall] = field(factory=list)
    accepted: list[DutyCall] = field(factory=list)
    usage: dict[int, dict[str, int]] = field(factory=dict)
    desired: dict[str, int] = field(factory=dict)
    faults: list[str] = field(factory=list)
    _highest: dict[str, int] = field(factory=dict)
    _holders: dict[tuple[str, str, int], str] = field(factory=dict)
    _orders: dict[tuple[str, int], int] = field(factory=dict)

    def take(self, duty: str, holder: str, fence: int, body: dict[str, Any]) -> int:
        """Take a call; return the status of its answer."""
        subject = "" if duty == "usage" else f"{body['service']} {body['zone']}"
        call = DutyCall(self.clock(), duty, subject, holder, fence, body)
        self.calls.append(call)
        if self._holders.setdefault((duty, subject, fence), holder) != holder:
            self.faults.append(f"ONE fence {fence} of {duty} {subject} was sent by two holders")
        key = f"{duty} {subject}"
        if fence < self._highest.get(key, 0):
            return FENCED
        self._highest[key] = fence
        self.accepted.append(call)
        self._note_turns()
        if duty == "usage":
            self._note_usage(body)
        else:
            self._note_order(subject, fence, body["desiredCount"])
        return OK

    def _note_order(self, subject: str, fence: int, desired: int) -> None:
        if self._orders.setdefault((subject, fence), desired) != desired:
            self.faults.append(f"ONE fence {fence} of {subject} orders {desired} and another number")
        self.desired[subject] = desired

    def _note_usage(self, body: dict[str, Any]) -> None:
        window, counts = body["windowNumber"], body["counts"]
        if self.usage.setdefault(window, counts) != counts:
            self.faults.append(f"ONE window {window} has two counts")

    def _note_turns(self) -> None:
        """Whether the newest call makes holders act in the order A, B, A within the lease, on one subject."""
        newest = self.accepted[-1]
        subject = (newest.duty, newest.subject)
        recent = [
            call
            for call in self.accepted
            if newest.at - call.at < self.lease_s and (call.duty, call.subject) == subject
        ]
        others = [number for number, call in enumerate(recent) if call.holder != newest.holder]
        if others and any(call.holder == newest.holder for call in recent[: others[0]]):
            self.faults.append(f"ONE {newest.holder} acts before and after {recent[others[0]].holder}")
