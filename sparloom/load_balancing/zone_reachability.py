"""Detects zones that this router can't reach, from the activity on its own requests; no I/O.

If a zone loses power or is partitioned from this router, all of its runners
stop responding at once. Detecting each of them separately would take a timeout
per runner. ``ZoneReachability`` therefore works per zone, in two steps:

1. A zone is *suspected* when one of its runners has exceeded the timeout of a
   pending call, nothing was received from the zone, and either another zone was
   active meanwhile or no zone was active for a long time. The condition on other
   zones keeps a slow router from suspecting all zones because of its own pause.
2. A suspected zone is probed. It becomes *unreachable* when connections to
   several of its runners don't open in time, so a single slow runner does not
   make its zone unreachable.

The result applies to this router only. Any activity of a runner in the zone
makes the zone reachable again.

Source of the idea that a failure detector should first suspect itself: Dadgar,
Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection".
"""

from __future__ import annotations

from datetime import timedelta
from itertools import chain
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of runners in a suspected zone whose probes must fail before the zone becomes unreachable.
FAILED_PROBES_NEEDED = 2
# How long a call whose connection did not open in time still counts against its zone.
ABANDONED_CALL_TTL = timedelta(seconds=1)
# Zones that were active within this time are not checked. Ticks are not closer together than this.
MINIMUM_INACTIVITY = timedelta(milliseconds=50)
NEVER = timedelta(0)


@define(eq=False, slots=True)
class AwaitedActivity:
    """A call that waits for its runner to open a connection or send data.

    Attributes
    ----------
    runner
        The runner's id.
    zone
        The runner's zone.
    since
        When the wait began.
    timeout
        Duration of inactivity after which the wait is overdue.
    on_unreachable
        Called when the runner's zone becomes unreachable during the wait.
    expires_at
        Until when the wait counts after the call was abandoned.
    """

    runner: str
    zone: str
    since: timedelta
    timeout: timedelta
    on_unreachable: Callable[[], None]
    expires_at: timedelta = NEVER


@define(frozen=True, slots=True)
class UnreachableZone:
    """A zone that this router considers unreachable.

    Attributes
    ----------
    since
        When it became unreachable.
    unresponsive_runners
        Number of its runners with overdue calls when it was suspected.
    """

    since: timedelta
    unresponsive_runners: int


@define(slots=True)
class SuspectedZone:
    """A zone that is being probed.

    Attributes
    ----------
    unresponsive_runners
        Number of its runners with overdue calls.
    failed
        Ids of the runners whose probes failed.
    """

    unresponsive_runners: int
    failed: set[str] = field(factory=set)


@define(frozen=True, slots=True)
class DueProbe:
    """Probes of a zone that are due: one connection to each of ``runners`` different runners."""

    zone: str
    runners: int


@define(slots=True, eq=False)
class ZoneReachability:
    """One router's view of which zones are reachable.

    Attributes
    ----------
    maximum_tick_gap
        If two calls of ``tick`` are further apart, this process was paused, and no zone is suspected.
    probe_interval
        Minimum time between two probes of a zone.
    global_inactivity_timeout
        If no zone was active for this time, every zone with an overdue call is suspected.
    unreachable
        The unreachable zones.
    suspected
        The zones that are being probed and are not unreachable yet.

    Examples
    --------
    >>> ms = timedelta(milliseconds=1)
    >>> zones = ZoneReachability(
    ...     maximum_tick_gap=150 * ms, probe_interval=250 * ms, global_inactivity_timeout=1000 * ms
    ... )
    >>> wait = zones.await_activity("a", "z1", timedelta(0), 200 * ms, lambda: None)
    >>> for now in range(0, 250, 50):
    ...     zones.note_activity("z2", now * ms); zones.tick(now * ms)
    >>> zones.due_probes(250 * ms)
    [DueProbe(zone='z1', runners=2)]
    >>> for runner in ("b", "c"):
    ...     zones.note_failed_probe("z1", runner, 350 * ms)
    >>> zones.is_unreachable("z1"), zones.is_unreachable("z2")
    (True, False)
    >>> zones.note_activity("z1", 400 * ms); zones.is_unreachable("z1")
    False
    """

    maximum_tick_gap: timedelta
    probe_interval: timedelta
    global_inactivity_timeout: timedelta
    unreachable: dict[str, UnreachableZone] = field(factory=dict)
    suspected: dict[str, SuspectedZone] = field(factory=dict)
    _awaited: dict[str, dict[AwaitedActivity, None]] = field(factory=dict)
    _abandoned: list[AwaitedActivity] = field(factory=list)
    _last_activity: dict[str, timedelta] = field(factory=dict)
    _last_probes: dict[str, timedelta] = field(factory=dict)
    _ticked_at: timedelta | None = None

    def is_unreachable(self, zone: str) -> bool:
        """Returns whether a zone is currently unreachable."""
        return zone in self.unreachable

    def await_activity(
        self, runner: str, zone: str, now: timedelta, timeout: timedelta, on_unreachable: Callable[[], None]
    ) -> AwaitedActivity:
        """Registers a call that waits for a runner. It is overdue after ``timeout`` without activity."""
        awaited = AwaitedActivity(runner, zone, now, timeout, on_unreachable)
        self._awaited.setdefault(zone, {})[awaited] = None
        return awaited

    def stop_waiting(self, awaited: AwaitedActivity) -> None:
        """Unregisters a call; the time that it waited no longer counts."""
        self._awaited[awaited.zone].pop(awaited, None)

    def on_connect_timeout(self, awaited: AwaitedActivity, now: timedelta) -> None:
        """Unregisters a call whose connection did not open in time; it counts for ``ABANDONED_CALL_TTL`` more."""
        self.stop_waiting(awaited)
        awaited.timeout = min(awaited.timeout, now - awaited.since)
        awaited.expires_at = now + ABANDONED_CALL_TTL
        self._abandoned.append(awaited)

    def note_activity(self, zone: str, now: timedelta) -> None:
        """Records activity of a runner in a zone, which makes the zone reachable."""
        self._last_activity[zone] = now
        self.unreachable.pop(zone, None)
        self.suspected.pop(zone, None)

    def tick(self, now: timedelta) -> None:
        """Suspects the zones with overdue calls; called at each clock tick."""
        previous, self._ticked_at = self._ticked_at, now
        if previous is not None and now - previous > self.maximum_tick_gap:
            self._extend_timeouts(now - previous)
            return
        overdue = self._overdue(now)
        self.suspected = {zone: suspicion for zone, suspicion in self.suspected.items() if zone in overdue}
        for zone, wait_starts in overdue.items():
            if zone in self.unreachable or zone in self.suspected:
                continue
            waiting_since = min(wait_starts.values())
            if self._is_active_elsewhere_since(zone, waiting_since) or self._is_inactive_everywhere(waiting_since, now):
                self.suspected[zone] = SuspectedZone(len(wait_starts))

    def _last_activity_of(self, zone: str) -> timedelta:
        return self._last_activity.get(zone, NEVER)

    def _overdue(self, now: timedelta) -> dict[str, dict[str, timedelta]]:
        """Returns the runners with overdue calls, by zone, and when the oldest overdue call of each began.

        Calls in recently active zones are skipped, so a busy router checks few calls.
        """
        self._abandoned = [
            awaited
            for awaited in self._abandoned
            if now < awaited.expires_at and self._last_activity_of(awaited.zone) < awaited.since
        ]
        inactive = [
            calls for zone, calls in self._awaited.items() if now - self._last_activity_of(zone) >= MINIMUM_INACTIVITY
        ]
        overdue: dict[str, dict[str, timedelta]] = {}
        for awaited in chain(self._abandoned, *inactive):
            if now - max(awaited.since, self._last_activity_of(awaited.zone)) >= awaited.timeout:
                wait_starts = overdue.setdefault(awaited.zone, {})
                wait_starts[awaited.runner] = min(awaited.since, wait_starts.get(awaited.runner, now))
        return overdue

    def _extend_timeouts(self, pause: timedelta) -> None:
        """Extends all timeouts by a pause of this process."""
        for awaited in chain(self._abandoned, *self._awaited.values()):
            awaited.timeout += pause

    def _is_active_elsewhere_since(self, zone: str, waiting_since: timedelta) -> bool:
        """Returns whether another zone was active after this zone's last activity and the start of the wait."""
        inactive_since = max(self._last_activity_of(zone), waiting_since)
        return any(active_at > inactive_since for active_at in self._last_activity.values())

    def _is_inactive_everywhere(self, waiting_since: timedelta, now: timedelta) -> bool:
        """Returns whether no zone was active for ``global_inactivity_timeout`` while a call waits."""
        return now - max(waiting_since, *self._last_activity.values(), NEVER) >= self.global_inactivity_timeout

    def due_probes(self, now: timedelta) -> list[DueProbe]:
        """Returns the probes to start now: of several runners in a suspected zone, of one in an unreachable zone."""
        due = [DueProbe(zone, FAILED_PROBES_NEEDED) for zone in self.suspected if self._is_probe_due(zone, now)]
        due += [DueProbe(zone, 1) for zone in self.unreachable if self._is_probe_due(zone, now)]
        for probe in due:
            self._last_probes[probe.zone] = now
        return due

    def _is_probe_due(self, zone: str, now: timedelta) -> bool:
        return zone not in self._last_probes or now - self._last_probes[zone] >= self.probe_interval

    def note_failed_probe(self, zone: str, runner: str, now: timedelta) -> None:
        """Records a probe whose connection did not open in time; the zone may become unreachable."""
        suspicion = self.suspected.get(zone)
        if suspicion is None:
            return
        suspicion.failed.add(runner)
        if len(suspicion.failed) >= FAILED_PROBES_NEEDED:
            del self.suspected[zone]
            self.unreachable[zone] = UnreachableZone(now, suspicion.unresponsive_runners)
            for awaited in list(self._awaited.get(zone, ())):
                awaited.on_unreachable()
