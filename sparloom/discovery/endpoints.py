"""Reads the platform's paginated list of runners, computes deltas between lists, and schedules the polls.

During roll-outs, a runner whose version differs from the service's first one is
listed under the name of its pool instead of its service. A node that doesn't
know about pools finds no service of that name and sends the runner no requests.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from attrs import define, field
from returns.result import Failure, Result, Success

from sparloom.codec import Record, UInt16, UInt32, record
from sparloom.errors import SparloomError

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of polls within the time that draining may take.
POLLS_PER_DRAIN = 4
# Calls are made at half the rate that the platform allows.
RATE_LIMIT_DIVISOR = 2
# Largest page of the list that is read.
MAXIMUM_PAGE_BYTES = 16 << 20
# Most runners that a list may have over all its pages.
MAXIMUM_RUNNERS = 100_000
# Separates service and version in the name of a pool. Names written by operators don't contain it.
POOL_SEPARATOR = "\x1f"


def pool_name(service: str, version: str) -> str:
    """Return the name of the pool of a service's runners of one version.

    >>> service_of(pool_name("s", "v2")), version_of(pool_name("s", "v2"))
    ('s', 'v2')
    """
    return f"{service}{POOL_SEPARATOR}{version}"


def service_of(pool: str) -> str:
    """Return the service of a pool; the pool of the first version has the service's own name.

    >>> service_of("s")
    's'
    """
    return pool.partition(POOL_SEPARATOR)[0]


def version_of(pool: str) -> str:
    """Return the version of a pool; "" for the pool of the first version.

    >>> version_of("s")
    ''
    """
    return pool.partition(POOL_SEPARATOR)[2]


@record(70)
class Endpoint(Record):
    """A runner instance as the platform lists it.

    Attributes:
        id: Id of this instance; a restarted runner has a new id.
        service: Its service, or the name of its pool.
        address: HOST:PORT for requests.
        zone: Its failure domain; may be empty.
        slots: Number of requests that it runs concurrently; 0 if unknown.
        draining: Whether it accepts no new requests.
        cold: Remaining warm-up time in milliseconds; 0 if warm.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: UInt32
    draining: bool
    cold: UInt32

    def in_pool(self, pool: str) -> Endpoint:
        """Returns the same runner, listed under the name of a pool.

        >>> Endpoint("a", "s", "h:1", "z", 4, False, 0).in_pool("t").service
        't'
        """
        return Endpoint(self.id, pool, self.address, self.zone, self.slots, self.draining, self.cold)


@record(71)
class EndpointList(Record):
    """All runners, sorted by id, and the number of routers that share them."""

    runners: list[Endpoint]
    fleet_size: UInt16

    def differs_from(self, old: EndpointList | None) -> bool:
        """Returns whether anything except the remaining warm-up times has changed.

        >>> EndpointList([], 1).differs_from(EndpointList([], 1))
        False
        """
        if old is None or self.fleet_size != old.fleet_size:
            return True
        return [*map(_comparable, self.runners)] != [*map(_comparable, old.runners)]


@record(72)
class EndpointDelta(Record):
    """The difference between two lists: added or changed runners, and the ids of removed ones."""

    fleet_size: UInt16
    updated: list[Endpoint]
    removed: list[str]


def _comparable(runner: Endpoint) -> Endpoint:
    """Returns the runner with its remaining warm-up time, which changes with every poll, reduced to 0 or 1."""
    if runner.cold <= 1:
        return runner
    return Endpoint(
        runner.id, runner.service, runner.address, runner.zone, runner.slots, runner.draining, int(bool(runner.cold))
    )


def delta(old: EndpointList, new: EndpointList) -> EndpointDelta:
    """Returns the difference between two lists; a different remaining warm-up time alone is not a change.

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
    """Returns the list that results from applying a delta to a list.

    >>> apply_delta(EndpointList([], 1), EndpointDelta(2, [], ["a"]))
    EndpointList(runners=[], fleet_size=2)
    """
    retained = {runner.id: runner for runner in old.runners if runner.id not in change.removed}
    return EndpointList(_sorted_by_id(retained | _by_id(change.updated)), change.fleet_size)


def versions_listed(runners: Iterable[Endpoint]) -> dict[str, set[str]]:
    """Returns the versions of each service in a list that was read with ``by_version``.

    >>> versions_listed([Endpoint("a", pool_name("s", "v1"), "h:1", "z", 4, False, 0)])
    {'s': {'v1'}}
    """
    versions: dict[str, set[str]] = {}
    for runner in runners:
        versions.setdefault(service_of(runner.service), set()).add(version_of(runner.service))
    return versions


def _by_id(runners: Iterable[Endpoint]) -> dict[str, Endpoint]:
    return {runner.id: runner for runner in runners}


def _sorted_by_id(runners: dict[str, Endpoint]) -> list[Endpoint]:
    return [runners[id] for id in sorted(runners)]


def _endpoint(instance: dict[str, Any], by_version: bool) -> Endpoint:
    """Converts a runner's JSON object; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
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
    """Parses a page of the platform's list.

    Args:
        document: The page as parsed JSON.
        by_version: Whether to list each runner under the pool of its service and version.

    Returns:
        The runners and the token of the next page (None on the last page), or a
        failure with an error message. The token must be present, so that a
        truncated list is not mistaken for a complete one.

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


class ListTooLongError(SparloomError):
    """The platform's list has too many runners, or its pages never end."""


@define(slots=True)
class PageAssembler:
    """Assembles the list of runners from its pages.

    Attributes:
        runners: Runners of the pages received so far.
        token: Token of the next page to request; None for the first page.

    >>> pages = PageAssembler(); pages.add([], "t"), pages.add([], None)
    (None, EndpointList(runners=[], fleet_size=0))
    """

    runners: list[Endpoint] = field(factory=list)
    token: str | None = None

    def add(self, runners: list[Endpoint], token: str | None) -> EndpointList | None:
        """Adds a page; returns the complete list after the last one.

        >>> PageAssembler().add([], None)
        EndpointList(runners=[], fleet_size=0)

        Raises:
            ListTooLongError: The pages have more than ``MAXIMUM_RUNNERS`` together.
        """
        if len(self.runners) + len(runners) > MAXIMUM_RUNNERS:
            raise ListTooLongError(f"the list has more than {MAXIMUM_RUNNERS} runners")
        self.runners += runners
        self.token = token
        if token is not None:
            return None
        complete, self.runners = _by_id(self.runners), []
        return EndpointList(_sorted_by_id(complete), 0)


@define(slots=True)
class PollSchedule:
    """Schedules calls within the platform's rate limit, and often enough to notice draining runners.

    Attributes:
        period: Time between the requests for the first pages of two successive lists.
        minimum_interval: Minimum time between two calls.
        next_call: Earliest time of the next call.
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
        """Returns the schedule for a rate limit (calls per second) and the time that draining may take.

        >>> PollSchedule.of(1.0, timedelta(seconds=1)).period
        datetime.timedelta(seconds=2)
        """
        minimum = timedelta(seconds=RATE_LIMIT_DIVISOR / rate)
        return cls(max(drain / POLLS_PER_DRAIN, minimum), minimum)

    def on_response(self, now: timedelta, more_pages: bool, throttled: bool = False) -> None:
        """Schedules the next call after one has ended.

        Args:
            now: When the call ended.
            more_pages: Whether the list has more pages.
            throttled: Whether the platform rejected the call because of its rate limit.

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
