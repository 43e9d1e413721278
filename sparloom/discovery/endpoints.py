"""Reads the platform's pages and paces the calls."""

from __future__ import annotations

from datetime import timedelta

from attrs import define, evolve, field
from returns.result import Failure, Success

from sparloom.codec import Record, UInt16, UInt32, record

READY, DRAINING = 0, 1


@record(70)
class Endpoint(Record):
    """One life of a runner as the platform lists it."""

    id: str
    service: str
    address: str
    zone: str
    slots: UInt32
    draining: bool
    cold: UInt32


@record(71)
class EndpointList(Record):
    """All runners, ordered by id; ``fleet_size``: how many routers share them."""

    runners: list[Endpoint]
    fleet_size: UInt16

    def differs_from(self, old):
        """Whether anything but the passing of time has changed.

        >>> EndpointList([], 1).differs_from(EndpointList([], 1))
        False
        """
        return (
            old is None
            or self.fleet_size != old.fleet_size
            or [*map(_plain, self.runners)] != [*map(_plain, old.runners)]
        )


@record(72)
class EndpointDelta(Record):
    """What makes one list of the next: lives that came or changed, and ids that went."""

    fleet_size: UInt16
    updated: list[Endpoint]
    removed: list[str]


def _plain(r):
    return evolve(r, cold=int(bool(r.cold)))


def delta(old, new):
    """The change from one list to the next; the passing of time is none.

    >>> a = Endpoint("a", "s", "h:1", "z", 4, False, 0)
    >>> delta(EndpointList([a], 1), EndpointList([], 2))
    EndpointDelta(fleet_size=2, updated=[], removed=['a'])
    """
    was, now = {r.id: r for r in old.runners}, {r.id: r for r in new.runners}
    put = [r for r in new.runners if r.id not in was or _plain(was[r.id]) != _plain(r)]
    return EndpointDelta(new.fleet_size, put, [i for i in was if i not in now])


def apply_delta(old, change):
    """The list that a change makes of another.

    >>> apply_delta(EndpointList([], 1), EndpointDelta(2, [], ["a"]))
    EndpointList(runners=[], fleet_size=2)
    """
    rows = {r.id: r for r in old.runners if r.id not in change.removed} | {r.id: r for r in change.updated}
    return EndpointList([rows[k] for k in sorted(rows)], change.fleet_size)


def _runner(d):
    return Endpoint(
        d["runnerId"],
        d["service"],
        d["address"],
        d.get("zone", ""),
        int(d.get("slots", 0)),
        d.get("state") != "ready",
        max(0, int(d.get("coldRemainingMs", 0))),
    )


def read_page(d):
    """The runners of a page and the token of the next one, which must be named: null on the last.

    >>> read_page({"instances": [], "nextPageToken": None}).unwrap()
    ([], None)
    >>> read_page({}).failure()
    "the platform's page can't be read: 'instances'"
    >>> read_page({"instances": []}).failure()
    "the platform's page can't be read: 'nextPageToken'"
    """
    try:
        return Success(([_runner(i) for i in d["instances"]], d["nextPageToken"]))
    except (KeyError, TypeError, ValueError) as e:
        return Failure(f"the platform's page can't be read: {e}")


@define(slots=True)
class PageAssembler:
    """Puts a list together from its pages.

    >>> p = PageAssembler(); p.add([], "t"), p.add([], None)
    (None, EndpointList(runners=[], fleet_size=0))
    """

    got: list = field(factory=list)
    token: str | None = None

    def add(self, runners, token):
        """Adds a page; gives the whole list after the last one.

        >>> PageAssembler().add([], None)
        EndpointList(runners=[], fleet_size=0)
        """
        self.got += runners
        self.token = token
        if token is not None:
            return None
        whole = {r.id: r for r in self.got}
        self.got = []
        return EndpointList([whole[k] for k in sorted(whole)], 0)


@define(slots=True)
class PollSchedule:
    """When the next call may be made: within the rate, and often enough for draining.

    >>> PollSchedule.of(40.0, timedelta(seconds=3)).period
    datetime.timedelta(microseconds=750000)
    """

    period: timedelta
    minimum_interval: timedelta
    next_call: timedelta = timedelta(0)
    round_started_at: timedelta = timedelta(0)

    @classmethod
    def of(cls, rate, drain):
        """A pace from the platform's rate and the time that draining may take.

        >>> PollSchedule.of(1.0, timedelta(seconds=1)).period
        datetime.timedelta(seconds=2)
        """
        least = timedelta(seconds=2 / rate)
        return cls(max(drain / 4, least), least)

    def on_response(self, now, more, hard=False):
        """A call ended: ``more`` pages follow, or it was turned away (``hard``).

        >>> p = PollSchedule.of(40.0, timedelta(seconds=3)); p.on_response(timedelta(0), True); p.next_call
        datetime.timedelta(microseconds=50000)
        """
        if more:
            self.next_call = now + self.minimum_interval
            return
        self.next_call = max(self.round_started_at + self.period, now + self.minimum_interval) + (
            self.period if hard else timedelta(0)
        )
        self.round_started_at = self.next_call
