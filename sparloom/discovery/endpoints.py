"""Reads the platform's pages of runners and schedules the calls.

Where roll-outs are in force, a runner of another version than the service's
first one is listed under the name of its pool in place of that of its service.
Whoever doesn't know of pools finds no such service, and sends it nothing.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from attrs import define, field
from returns.result import Failure, Result, Success

from sparloom.codec import Record, UInt16, UInt32, record

if TYPE_CHECKING:
    from collections.abc import Iterable

PERIODS_PER_DRAIN = 4
# Calls are made at half the rate that the platform allows.
RATE_MARGIN = 2
# Stands between the names of a service and of a version; no name that an operator writes holds it.
SEPARATOR = "\x1f"


def pool_name(service: str, version: str) -> str:
    """Return the name of the pool of a service's runners of one version.

    >>> service_of(pool_name("s", "v2")), version_of(pool_name("s", "v2"))
    ('s', 'v2')
    """
    return f"{service}{SEPARATOR}{version}"


def service_of(pool: str) -> str:
    """Return the service of a pool; the pool of the first version has the service's own name.

    >>> service_of("s")
    's'
    """
    return pool.partition(SEPARATOR)[0]


def version_of(pool: str) -> str:
    """Return the version that a pool names; "" for the pool of the first version.

    >>> version_of("s")
    ''
    """
    return pool.partition(SEPARATOR)[2]


@record(70)
class Endpoint(Record):
    """A runner instance as the platform lists it.

    Attributes:
        id: Names this instance; a restarted runner has another one.
        service: The service that it belongs to.
        address: HOST:PORT for requests.
        zone: Its failure domain, or empty.
        slots: Requests that it runs at once; 0 where unknown.
        draining: Whether it takes no new requests.
        cold: For how many milliseconds it is still warming up; 0 when warm.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: UInt32
    draining: bool
    cold: UInt32

    def in_pool(self, pool: str) -> Endpoint:
        """The same runner, listed under the name of a pool.

        >>> Endpoint("a", "s", "h:1", "z", 4, False, 0).in_pool("t").service
        't'
        """
        return Endpoint(self.id, pool, self.address, self.zone, self.slots, self.draining, self.cold)


@record(71)
class EndpointList(Record):
    """All runners, ordered by id, and the number of routers that share them."""

    runners: list[Endpoint]
    fleet_size: UInt16

    def differs_from(self, old: EndpointList | None) -> bool:
        """Whether anything but the remaining warm-up times has changed.

        >>> EndpointList([], 1).differs_from(EndpointList([], 1))
        False
        """
        if old is None or self.fleet_size != old.fleet_size:
            return True
        return [*map(_comparable, self.runners)] != [*map(_comparable, old.runners)]


@record(72)
class EndpointDelta(Record):
    """The change from one list to the next: runners added or changed, and ids of those removed."""

    fleet_size: UInt16
    updated: list[Endpoint]
    removed: list[str]


def _comparable(runner: Endpoint) -> Endpoint:
    """The runner without its remaining warm-up time, which changes with every poll."""
    if runner.cold <= 1:
        return runner
    return Endpoint(
        runner.id, runner.service, runner.address, runner.zone, runner.slots, runner.draining, int(bool(runner.cold))
    )


def delta(old: EndpointList, new: EndpointList) -> EndpointDelta:
    """The change from one list to the next; a shorter remaining warm-up time alone is none.

    >>> runner = Endpoint("a", "s", "h:1", "z", 4, False, 0)
    >>> delta(EndpointList([runner], 1), EndpointList([], 2))
    EndpointDelta(fleet_size=2, updated=[], removed=['a'])
    """
    before, now = _by_id(old.runners), _by_id(new.runners)
    updated = [
        runner
        for runner in new.runners
        if runner.id not in before or _comparable(before[runner.id]) != _comparable(runner)
    ]
    return EndpointDelta(new.fleet_size, updated, [id for id in before if id not in now])


def apply_delta(old: EndpointList, change: EndpointDelta) -> EndpointList:
    """The list that results from applying a change to another.

    >>> apply_delta(EndpointList([], 1), EndpointDelta(2, [], ["a"]))
    EndpointList(runners=[], fleet_size=2)
    """
    kept = {runner.id: runner for runner in old.runners if runner.id not in change.removed}
    return EndpointList(_ordered(kept | _by_id(change.updated)), change.fleet_size)


def versions_listed(runners: Iterable[Endpoint]) -> dict[str, set[str]]:
    """The versions of each service in a list that was read by version.

    >>> versions_listed([Endpoint("a", pool_name("s", "v1"), "h:1", "z", 4, False, 0)])
    {'s': {'v1'}}
    """
    found: dict[str, set[str]] = {}
    for runner in runners:
        found.setdefault(service_of(runner.service), set()).add(version_of(runner.service))
    return found


def _by_id(runners: Iterable[Endpoint]) -> dict[str, Endpoint]:
    return {runner.id: runner for runner in runners}


def _ordered(runners: dict[str, Endpoint]) -> list[Endpoint]:
    return [runners[id] for id in sorted(runners)]


def _endpoint(instance: dict[str, Any], by_version: bool) -> Endpoint:
    """A runner from its JSON object; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    service = instance["service"]
    return Endpoint(
        instance["runnerId"],
        pool_name(service, str(instance.get("revision", ""))) if by_version else service,
        instance["address"],
        instance.get("zone", ""),
        int(instance.get("slots", 0)),
        instance.get("state") != "ready",
        max(0, int(instance.get("coldRemainingMs", 0))),
    )


def read_page(document: Any, by_version: bool = False) -> Result[tuple[list[Endpoint], str | None], str]:
    """Reads a page of the platform's list.

    Args:
        document: The page.
        by_version: Whether each runner is given the pool of its service and version for its service.

    Returns:
        The runners and the token of the next page, None on the last one. The
        token must be present, so that a truncated list isn't taken for a
        complete one. A failure says what can't be read.

    >>> read_page({"instances": [], "nextPageToken": None}).unwrap()
    ([], None)
    >>> read_page({}).failure()
    "the platform's page can't be read: 'instances'"
    >>> read_page({"instances": []}).failure()
    "the platform's page can't be read: 'nextPageToken'"
    """
    try:
        endpoints = [_endpoint(instance, by_version) for instance in document["instances"]]
        return Success((endpoints, document["nextPageToken"]))
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f"the platform's page can't be read: {error}")


@define(slots=True)
class PageAssembler:
    """Assembles a list from its pages.

    Attributes:
        runners: Runners of the pages so far.
        token: Names the page to request next; None: the first.

    >>> pages = PageAssembler(); pages.add([], "t"), pages.add([], None)
    (None, EndpointList(runners=[], fleet_size=0))
    """

    runners: list[Endpoint] = field(factory=list)
    token: str | None = None

    def add(self, runners: list[Endpoint], token: str | None) -> EndpointList | None:
        """Adds a page; returns the complete list after the last one.

        >>> PageAssembler().add([], None)
        EndpointList(runners=[], fleet_size=0)
        """
        self.runners += runners
        self.token = token
        if token is not None:
            return None
        complete, self.runners = _by_id(self.runners), []
        return EndpointList(_ordered(complete), 0)


@define(slots=True)
class PollSchedule:
    """When the next call may be made: within the rate limit, and often enough to notice draining.

    Attributes:
        period: From the first page of one list to that of the next.
        minimum_interval: From one call to the next.
        next_call: When the next call may be made.
        round_started_at: When the first page of the current list was requested.

    >>> PollSchedule.of(40.0, timedelta(seconds=3)).period
    datetime.timedelta(microseconds=750000)
    """

    period: timedelta
    minimum_interval: timedelta
    next_call: timedelta = timedelta(0)
    round_started_at: timedelta = timedelta(0)

    @classmethod
    def of(cls, rate: float, drain: timedelta) -> PollSchedule:
        """A schedule from the platform's rate limit (calls per second) and the time that draining may take.

        >>> PollSchedule.of(1.0, timedelta(seconds=1)).period
        datetime.timedelta(seconds=2)
        """
        minimum = timedelta(seconds=RATE_MARGIN / rate)
        return cls(max(drain / PERIODS_PER_DRAIN, minimum), minimum)

    def on_response(self, now: timedelta, more_pages: bool, throttled: bool = False) -> None:
        """Schedules the next call after one has ended.

        Args:
            now: When it ended.
            more_pages: Whether more pages of the list follow.
            throttled: Whether the platform rejected the call as over its rate limit.

        >>> schedule = PollSchedule.of(40.0, timedelta(seconds=3))
        >>> schedule.on_response(timedelta(0), True)
        >>> schedule.next_call
        datetime.timedelta(microseconds=50000)
        """
        if more_pages:
            self.next_call = now + self.minimum_interval
            return
        backoff = self.period if throttled else timedelta(0)
        self.next_call = max(self.round_started_at + self.period, now + self.minimum_interval) + backoff
        self.round_started_at = self.next_call
