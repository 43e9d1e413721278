"""Records the duty calls that a fake platform receives and detects violations.

The duties are usage reports and scaling orders. ``DutyLog`` holds the calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

OK = 200
CONFLICT = 409


@define(frozen=True, slots=True)
class DutyCall:
    """A received duty call.

    Attributes
    ----------
    received_at
        Time of arrival in seconds, on the log's clock.
    duty
        ``usage`` or ``scale``.
    subject
        Empty for usage; service and zone for scaling.
    holder, fence
        Holder and fence number from the headers.
    body
        The JSON body.
    """

    received_at: float
    duty: str
    subject: str
    holder: str
    fence: int
    body: dict[str, Any]


@define(slots=True, eq=False)
class DutyLog:
    """Accepts or rejects calls by their fence number, as a platform does, and records them.

    Attributes
    ----------
    clock
        Returns the time in seconds.
    lease_s
        Holders must not alternate within this many seconds.
    calls, accepted
        All calls, and the calls that were answered with 200.
    usage
        The accepted counts by window number.
    desired
        The latest ordered number of runners, by service and zone.
    violations
        A message for each violation.

    >>> log = DutyLog(lambda: 0.0)
    >>> log.take("usage", "a", 2, {"windowNumber": 7, "counts": {"t": 1}})
    200
    >>> log.take("usage", "b", 1, {"windowNumber": 8, "counts": {}}), log.violations
    (409, [])
    >>> log.take("usage", "b", 2, {"windowNumber": 7, "counts": {}}), len(log.violations)
    (200, 2)
    """

    clock: Callable[[], float]
    lease_s: float = 3.0
    calls: list[DutyCall] = field(factory=list)
    accepted: list[DutyCall] = field(factory=list)
    usage: dict[int, dict[str, int]] = field(factory=dict)
    desired: dict[str, int] = field(factory=dict)
    violations: list[str] = field(factory=list)
    _highest_fences: dict[str, int] = field(factory=dict)
    _holders: dict[tuple[str, str, int], str] = field(factory=dict)
    _orders: dict[tuple[str, int], int] = field(factory=dict)

    def take(self, duty: str, holder: str, fence: int, body: dict[str, Any]) -> int:
        """Handle a call; return the response status."""
        subject = "" if duty == "usage" else f"{body['service']} {body['zone']}"
        call = DutyCall(self.clock(), duty, subject, holder, fence, body)
        self.calls.append(call)
        if self._holders.setdefault((duty, subject, fence), holder) != holder:
            self.violations.append(f"ONE fence {fence} of {duty} {subject} was used by two holders")
        key = f"{duty} {subject}"
        if fence < self._highest_fences.get(key, 0):
            return CONFLICT
        self._highest_fences[key] = fence
        self.accepted.append(call)
        self._check_alternation()
        if duty == "usage":
            self._record_usage(body)
        else:
            self._record_order(subject, fence, body["desiredCount"])
        return OK

    def _record_order(self, subject: str, fence: int, desired: int) -> None:
        if self._orders.setdefault((subject, fence), desired) != desired:
            self.violations.append(f"ONE fence {fence} of {subject} orders {desired} and a different number")
        self.desired[subject] = desired

    def _record_usage(self, body: dict[str, Any]) -> None:
        window, counts = body["windowNumber"], body["counts"]
        if self.usage.setdefault(window, counts) != counts:
            self.violations.append(f"ONE window {window} has two different counts")

    def _check_alternation(self) -> None:
        """Record a violation if holders act in the order A, B, A on the latest subject within a lease."""
        latest = self.accepted[-1]
        subject = (latest.duty, latest.subject)
        recent = [
            call
            for call in self.accepted
            if latest.received_at - call.received_at < self.lease_s and (call.duty, call.subject) == subject
        ]
        others = [index for index, call in enumerate(recent) if call.holder != latest.holder]
        if others and any(call.holder == latest.holder for call in recent[: others[0]]):
            self.violations.append(f"ONE {latest.holder} acted before and after {recent[others[0]].holder}")
