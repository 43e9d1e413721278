"""Whether the runners of a zone give any sign of life, judged from this router's own requests; no I/O.

A zone that loses power, or is partitioned from this router, makes all of its
runners silent at once. Judging them one by one takes a time-out each. Here a
zone is *doubted* once one of its runners owes a sign for longer than it was
given, while nothing at all came from the zone and another zone spoke, or none
has for long. The last condition keeps a slow router from blaming everybody
else for a moment of its own. A
doubted zone is probed: only when connections to several of its runners don't
open in time is it believed *unreachable*, so a runner that is merely slow
blames nobody. The belief holds for the believer only, and one sign from any
runner of the zone ends it.

Source of the thought that a detector should first suspect itself: Dadgar,
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

# Connections to so many runners of a doubted zone must fail before it is believed unreachable.
FAILED_PROBES_NEEDED = 2
# For how long a connection that did not open counts against the zone.
MEMORY_OF_GIVEN_UP = timedelta(seconds=1)
# A zone that spoke so short a time ago is not judged: the ticks come no closer.
MINIMUM_QUIET = timedelta(milliseconds=50)
NEVER = timedelta(0)


@define(eq=False, slots=True)
class AwaitedSign:
    """One call that waits for the next sign of its runner.

    Attributes
    ----------
    runner
        The runner's id.
    zone
        The runner's zone.
    since
        When the wait began.
    patience
        For how long silence is no fault.
    on_unreachable
        Called when the runner's zone becomes unreachable while the call waits.
    forgotten_at
        Until when it counts after the call has given up.
    """

    runner: str
    zone: str
    since: timedelta
    patience: timedelta
    on_unreachable: Callable[[], None]
    forgotten_at: timedelta = NEVER


@define(frozen=True, slots=True)
class UnreachableZone:
    """The belief that a zone is unreachable.

    Attributes
    ----------
    since
        When the belief began.
    silent_runners
        How many of its runners owed a sign when it was doubted.
    """

    since: timedelta
    silent_runners: int


@define(slots=True)
class Doubt:
    """A zone that is probed before it is believed unreachable.

    Attributes
    ----------
    silent_runners
        How many of its runners owed a sign.
    failed
        The runners that could not be connected to.
    """

    silent_runners: int
    failed: set[str] = field(factory=set)


@define(frozen=True, slots=True)
class DueProbe:
    """Probes of a zone that are due: connections to ``runners`` different runners."""

    zone: str
    runners: int


@define(slots=True, eq=False)
class ZoneReachability:
    """The beliefs of one router about zones.

    Attributes
    ----------
    maximum_tick
        If ``tick`` comes later than this after the one before, the process itself stood still and nothing is judged.
    probe_interval
        From one probe of a zone to the next.
    long_silence
        When nothing came from anywhere for so long, every zone that owes a sign is doubted.
    unreachable
        The present belief about each zone that is unreachable.
    doubts
        The zones that are being probed and not believed unreachable yet.

    Examples
    --------
    >>> ms = timedelta(milliseconds=1)
    >>> zones = ZoneReachability(maximum_tick=150 * ms, probe_interval=250 * ms, long_silence=1000 * ms)
    >>> wait = zones.await_sign("a", "z1", timedelta(0), 200 * ms, lambda: None)
    >>> for now in range(0, 250, 50):
    ...     zones.note_sign("z2", now * ms); zones.tick(now * ms)
    >>> zones.due_probes(250 * ms)
    [DueProbe(zone='z1', runners=2)]
    >>> for runner in ("b", "c"):
    ...     zones.note_failed_probe("z1", runner, 350 * ms)
    >>> zones.is_unreachable("z1"), zones.is_unreachable("z2")
    (True, False)
    >>> zones.note_sign("z1", 400 * ms); zones.is_unreachable("z1")
    False
    """

    maximum_tick: timedelta
    probe_interval: timedelta
    long_silence: timedelta
    unreachable: dict[str, UnreachableZone] = field(factory=dict)
    doubts: dict[str, Doubt] = field(factory=dict)
    _awaited: dict[str, dict[AwaitedSign, None]] = field(factory=dict)
    _given_up: list[AwaitedSign] = field(factory=list)
    _last_signs: dict[str, timedelta] = field(factory=dict)
    _last_probes: dict[str, timedelta] = field(factory=dict)
    _ticked_at: timedelta | None = None

    def is_unreachable(self, zone: str) -> bool:
        """Whether a zone is believed unreachable now."""
        return zone in self.unreachable

    def await_sign(
        self, runner: str, zone: str, now: timedelta, patience: timedelta, on_unreachable: Callable[[], None]
    ) -> AwaitedSign:
        """A call waits for the next sign of a runner, which owes it from ``now + patience`` on."""
        awaited = AwaitedSign(runner, zone, now, patience, on_unreachable)
        self._awaited.setdefault(zone, {})[awaited] = None
        return awaited

    def stop_waiting(self, awaited: AwaitedSign) -> None:
        """The call waits no longer; what it had to wait says nothing."""
        self._awaited[awaited.zone].pop(awaited, None)

    def give_up(self, awaited: AwaitedSign, now: timedelta) -> None:
        """The call waits no longer, since its connection did not open in time; the runner owes the sign for a while."""
        self.stop_waiting(awaited)
        awaited.patience = min(awaited.patience, now - awaited.since)
        awaited.forgotten_at = now + MEMORY_OF_GIVEN_UP
        self._given_up.append(awaited)

    def note_sign(self, zone: str, now: timedelta) -> None:
        """Something came from a runner of a zone."""
        self._last_signs[zone] = now
        self.unreachable.pop(zone, None)
        self.doubts.pop(zone, None)

    def tick(self, now: timedelta) -> None:
        """Time has moved on: doubt the zones from which signs are overdue."""
        previous, self._ticked_at = self._ticked_at, now
        if previous is not None and now - previous > self.maximum_tick:
            self._forgive(now - previous)
            return
        overdue = self._overdue(now)
        self.doubts = {zone: doubt for zone, doubt in self.doubts.items() if zone in overdue}
        for zone, waits in overdue.items():
            if zone in self.unreachable or zone in self.doubts:
                continue
            waiting_since = min(waits.values())
            if self._others_spoke_since(zone, waiting_since) or self._all_are_silent(waiting_since, now):
                self.doubts[zone] = Doubt(len(waits))

    def _last_sign(self, zone: str) -> timedelta:
        return self._last_signs.get(zone, NEVER)

    def _overdue(self, now: timedelta) -> dict[str, dict[str, timedelta]]:
        """For each zone since when its runners are waited for that owe a sign.

        Calls in zones that spoke a moment ago owe none, so a busy router looks at hardly any call.
        """
        self._given_up = [
            awaited
            for awaited in self._given_up
            if now < awaited.forgotten_at and self._last_sign(awaited.zone) < awaited.since
        ]
        quiet = [calls for zone, calls in self._awaited.items() if now - self._last_sign(zone) >= MINIMUM_QUIET]
        overdue: dict[str, dict[str, timedelta]] = {}
        for awaited in chain(self._given_up, *quiet):
            if now - max(awaited.since, self._last_sign(awaited.zone)) >= awaited.patience:
                waits = overdue.setdefault(awaited.zone, {})
                waits[awaited.runner] = min(awaited.since, waits.get(awaited.runner, now))
        return overdue

    def _forgive(self, pause: timedelta) -> None:
        """This process stood still: what is owed falls due as much later."""
        for awaited in chain(self._given_up, *self._awaited.values()):
            awaited.patience += pause

    def _others_spoke_since(self, zone: str, waiting_since: timedelta) -> bool:
        """Whether another zone has spoken since a runner of this zone is waited for and the zone did not."""
        silent_since = max(self._last_sign(zone), waiting_since)
        return any(sign > silent_since for sign in self._last_signs.values())

    def _all_are_silent(self, waiting_since: timedelta, now: timedelta) -> bool:
        """Whether nothing came from anywhere for long, though a sign is owed."""
        return now - max(waiting_since, *self._last_signs.values(), NEVER) >= self.long_silence

    def due_probes(self, now: timedelta) -> list[DueProbe]:
        """The probes to begin now: several runners of a zone that is doubted, one of a zone that is unreachable."""
        due = [DueProbe(zone, FAILED_PROBES_NEEDED) for zone in self.doubts if self._is_probe_due(zone, now)]
        due += [DueProbe(zone, 1) for zone in self.unreachable if self._is_probe_due(zone, now)]
        for probe in due:
            self._last_probes[probe.zone] = now
        return due

    def _is_probe_due(self, zone: str, now: timedelta) -> bool:
        return zone not in self._last_probes or now - self._last_probes[zone] >= self.probe_interval

    def note_failed_probe(self, zone: str, runner: str, now: timedelta) -> None:
        """A connection to a runner did not open in time; the zone may be unreachable from now on."""
        doubt = self.doubts.get(zone)
        if doubt is None:
            return
        doubt.failed.add(runner)
        if len(doubt.failed) >= FAILED_PROBES_NEEDED:
            del self.doubts[zone]
            self.unreachable[zone] = UnreachableZone(now, doubt.silent_runners)
            for awaited in list(self._awaited.get(zone, ())):
                awaited.on_unreachable()
