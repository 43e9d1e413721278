"""The router's present view of its fleet: snapshots that its services replace and read."""

from __future__ import annotations

import asyncio
import os
import random
from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.admission import FleetSize
from sparloom.dynamic_timeout import InFlightCounts
from sparloom.load_balancing import ZoneReachability
from sparloom.relay import RelayTier
from sparloom.retry import RetryBudget
from sparloom.transport import monotonic

from .backends import BackendTable

if TYPE_CHECKING:
    from sparloom.configuration import Configuration
    from sparloom.discovery import EndpointList
    from sparloom.isolation import Isolation
    from sparloom.settings import Settings


# The tick is due each 50 ms; if it comes this late, the process stood still and blames no zone.
LATE_TICK = timedelta(milliseconds=150)
# An unreachable zone is probed so often, as a part of the contact bound.
ZONE_PROBE_PART = 1 / 16
# For this part of the contact bound nothing must have come from any zone before all of them are doubted.
LONG_SILENCE_PART = 1 / 4
# Without confirmation, a router counts as ready after so many contact bounds.
UNCONFIRMED_READY_BOUNDS = 2
# A list is a poll older than the confirmation of its primary (a quarter of the drain bound), and a request takes
# a moment to arrive: after this part of the drain bound without a confirmation, any runner may be leaving.
DOUBT_AFTER_DRAIN_PART = 0.7
# After this part of the contact bound without a confirmation, this router is out of touch.
OUT_OF_TOUCH_AFTER_PART = 1.25


class RouterState:
    """What this router knows now.

    Settings, configuration and endpoint list are immutable: a change puts a new
    object here, so identity shows whether they are the same. ``backends`` is a
    new table after each change too, but its ``Backend`` objects go on into the
    next table and are updated in place.

    Attributes
    ----------
    settings: the checked startup file.
    key: this router's internal HOST:PORT.
    instance_id: random number of this run of the process.
    configuration: the operator's configuration; None until the first one came.
    endpoint_list: the newest list of runners; None until the first one came.
    backends: the runners of that list, with what traffic has shown of them.
    confirmed: whether a primary has confirmed what this router holds.
    primary_confirmed_at: when the primary was confirmed last, as far as this router was told; None before the first.
    configuration_confirmed_at: when the configuration that this router has was last known to be the newest; None if
        it never was.
    started_at: when this process started, on the monotonic clock.
    in_flight: requests in flight per backend, own and of the other routers.
    fleet_size: among how many routers budgets and capacity are divided.
    relay_tier: the relays, as membership has them now.
    zones: which zones' runners give this router no sign of life.
    prefixes_known: set once controllers told the cached prefixes, or time for that is over.
    random: source of all random draws of this router.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.key = f"{settings.ip}:{settings.router_port}"
        self.configuration: Configuration | None = None
        self.endpoint_list: EndpointList | None = None
        self.backends = BackendTable()
        self.confirmed = False
        self.primary_confirmed_at: timedelta | None = None
        self.configuration_confirmed_at: timedelta | None = None
        self.started_at = monotonic()
        self.in_flight = InFlightCounts(settings.bounds.contact)
        self.fleet_size = FleetSize(settings.bounds.contact)
        self.relay_tier = RelayTier()
        contact = settings.bounds.contact
        self.zones = ZoneReachability(LATE_TICK, contact * ZONE_PROBE_PART, contact * LONG_SILENCE_PART)
        self.prefixes_known = asyncio.Event()
        self.random = random.Random()
        self.instance_id = int.from_bytes(os.urandom(7))
        self._before_isolation: frozenset[str] = frozenset()
        # Shares of rates by rate and backend, and the configuration that they go by.
        self._shares_by: Configuration | None = None
        self._shares: dict[tuple[int, int], int] = {}

    @property
    def seeds(self) -> tuple[str, ...]:
        """The internal addresses of the seed controllers."""
        return tuple(f"{seed.host}:{self.settings.controller_port}" for seed in self.settings.seeds)

    def ready(self) -> bool:
        """Whether a configuration and runners are known, and are confirmed or the time to confirm them is over."""
        if self.configuration is None or self.endpoint_list is None:
            return False
        unconfirmed_for = monotonic() - self.started_at
        return self.confirmed or unconfirmed_for > self.settings.bounds.contact * UNCONFIRMED_READY_BOUNDS

    def note_confirmation(self, at: timedelta) -> None:
        """Notes that the primary was confirmed at a moment, and that what it published by then is here."""
        known = self.primary_confirmed_at
        self.primary_confirmed_at = at if known is None else max(known, at)

    def note_configuration(self, at: timedelta) -> None:
        """Notes that the configuration that this router has was the newest one at a moment."""
        known = self.configuration_confirmed_at
        self.configuration_confirmed_at = at if known is None else max(known, at)

    def configuration_age(self, now: timedelta) -> timedelta:
        """For how long the configuration that this router has may have been out of date."""
        confirmed_at = self.configuration_confirmed_at
        return timedelta.max if confirmed_at is None else max(timedelta(0), now - confirmed_at)

    def doubts_endpoints(self, now: timedelta) -> bool:
        """Whether a runner may have left for longer than the drain bound without this router having been told.

        Only until this router is out of touch: from then on what it knows is all there is.
        """
        if self.primary_confirmed_at is None:
            return False
        bounds, age = self.settings.bounds, now - self.primary_confirmed_at
        return bounds.drain * DOUBT_AFTER_DRAIN_PART <= age < bounds.contact * OUT_OF_TOUCH_AFTER_PART

    def share_of_cold_rate(self, rate: int, salt: int, now: timedelta) -> int:
        """This router's share of what a cold backend bears within a second; ``salt`` is the backend's number.

        None is sure without a place in the table, or where that may not be the newest any more. A router
        that has just started may follow one at the same address, whose sends count together with its own.
        """
        configuration = self.configuration
        if configuration is None or configuration.rate_holders is None:
            return 0
        age, up_for, contact_bound = self.configuration_age(now), now - self.started_at, self.settings.bounds.contact
        if not configuration.rate_holders.is_usable(age, up_for, contact_bound):
            return 0
        if configuration is not self._shares_by:
            self._shares_by, self._shares = configuration, {}
        share = self._shares.get((rate, salt))
        if share is None:
            share = self._shares[rate, salt] = configuration.rate_holders.share(self.key, rate, salt)
        return share

    def note_isolation(self, isolation: Isolation | None) -> None:
        """Remembers which backends are older than other settings of isolation, which are about to be used."""
        if isolation != self.settings.isolation:
            self._before_isolation = frozenset(self.backends.by_id)

    def lives_before_isolation(self) -> int:
        """How many listed backends are older than the settings of isolation, as far as this process knows."""
        return len(self._before_isolation & self.backends.by_id.keys())


class RetryBudgets:
    """The retry budgets of this router.

    A budget is made when its service is first asked for, by the settings of
    that moment; it counts from the start of the process.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            bounds = self._state.settings.bounds
            budget = RetryBudget(bounds.budget_window, bounds.budget_ratio, bounds.budget_slack, self._state.started_at)
            self._by_service[service] = budget
        return budget
