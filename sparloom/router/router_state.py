"""The router's current view of the fleet (``RouterState``) and its retry budgets (``RetryBudgets``)."""

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


# Longest gap between two ticks, which are due every 50 ms. After a longer gap the process itself was stalled, and no
# zone is suspected.
LATE_TICK_THRESHOLD = timedelta(milliseconds=150)
# Interval between probes of an unreachable zone, as a fraction of the contact bound.
ZONE_PROBE_FRACTION = 1 / 16
# All zones are suspected when no zone has answered for this fraction of the contact bound.
ALL_ZONES_SUSPECT_FRACTION = 1 / 4
# An unconfirmed router becomes ready after this multiple of the contact bound.
UNCONFIRMED_READY_MULTIPLE = 2
# Fraction of the drain bound after which, without a confirmation, any runner may be leaving. It is below 1 because an
# endpoint list can be one poll (a quarter of the drain bound) older than the primary's confirmation, and because a
# request takes time to arrive.
STALE_ENDPOINTS_DRAIN_FRACTION = 0.7
# Multiple of the contact bound after which, without a confirmation, this router counts as disconnected.
DISCONNECTED_AFTER_MULTIPLE = 1.25


class RouterState:
    """The state that the router's services share.

    Settings, configuration and endpoint list are immutable: a change replaces
    the object, so two of them can be compared by identity. A change also
    replaces the ``backends`` table, but its ``Backend`` objects are carried
    over to the next table and updated in place.

    Attributes
    ----------
    settings: the validated startup file.
    key: this router's internal HOST:PORT.
    instance_id: random ID of this run of the process.
    configuration: the operators' configuration; None until the first one is received.
    endpoint_list: the newest list of runners; None until the first one is received.
    backends: the runners of that list, with their state as observed from traffic.
    confirmed: whether a primary has confirmed that this router's configuration and endpoints are current.
    primary_confirmed_at: time of the newest confirmation of the primary that this router knows of; None before the
        first one.
    configuration_confirmed_at: the last time at which this router's configuration was known to be the newest; None if
        it never was.
    started_at: start time of this process, on the monotonic clock.
    in_flight: requests in flight per backend, from this router and from the others.
    fleet_size: the number of routers by which budgets and capacity are divided.
    relay_tier: the relays according to the current membership.
    zones: reachability of each zone from this router.
    prefixes_known: set when the controllers have sent the cached prefixes, or when the wait for them has timed out.
    random: the random number generator of this router.
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
        self.zones = ZoneReachability(
            LATE_TICK_THRESHOLD, contact * ZONE_PROBE_FRACTION, contact * ALL_ZONES_SUSPECT_FRACTION
        )
        self.prefixes_known = asyncio.Event()
        self.random = random.Random()
        self.instance_id = int.from_bytes(os.urandom(7))
        self._backend_ids_before_isolation: frozenset[str] = frozenset()
        # Cached rate shares by (rate, backend number), and the configuration from which they were computed.
        self._cold_rate_quotas_configuration: Configuration | None = None
        self._cold_rate_quotas: dict[tuple[int, int], int] = {}

    @property
    def seeds(self) -> tuple[str, ...]:
        """The internal addresses of the seed controllers."""
        return tuple(f"{seed.host}:{self.settings.controller_port}" for seed in self.settings.seeds)

    def ready(self) -> bool:
        """Whether a configuration and an endpoint list exist, and are confirmed or the confirmation has timed out."""
        if self.configuration is None or self.endpoint_list is None:
            return False
        uptime = monotonic() - self.started_at
        return self.confirmed or uptime > self.settings.bounds.contact * UNCONFIRMED_READY_MULTIPLE

    def record_primary_confirmation(self, confirmed_at: timedelta) -> None:
        """Records that the primary was confirmed at a time, and that all that it had published by then is applied."""
        previous = self.primary_confirmed_at
        self.primary_confirmed_at = confirmed_at if previous is None else max(previous, confirmed_at)

    def record_configuration_confirmation(self, confirmed_at: timedelta) -> None:
        """Records that this router's configuration was the newest one at a time."""
        previous = self.configuration_confirmed_at
        self.configuration_confirmed_at = confirmed_at if previous is None else max(previous, confirmed_at)

    def configuration_age(self, now: timedelta) -> timedelta:
        """Returns the time for which this router's configuration may have been out of date."""
        confirmed_at = self.configuration_confirmed_at
        return timedelta.max if confirmed_at is None else max(timedelta(0), now - confirmed_at)

    def endpoints_may_be_stale(self, now: timedelta) -> bool:
        """Whether a runner may have been draining for longer than the drain bound without this router knowing.

        False once this router is disconnected: it then uses its last endpoint list, since it has no other.
        """
        if self.primary_confirmed_at is None:
            return False
        bounds, age = self.settings.bounds, now - self.primary_confirmed_at
        return bounds.drain * STALE_ENDPOINTS_DRAIN_FRACTION <= age < bounds.contact * DISCONNECTED_AFTER_MULTIPLE

    def cold_rate_quota(self, rate: int, salt: int, now: timedelta) -> int:
        """Returns this router's share of the requests per second that a cold backend accepts.

        ``salt`` is the backend's number. The share is 0 if this router isn't in the table of rate holders, or if that
        table may be out of date. It is also 0 just after a start: this process may have replaced one at the same
        address, and the requests of both count against one share.
        """
        configuration = self.configuration
        if configuration is None or configuration.rate_holders is None:
            return 0
        age, uptime, contact_bound = self.configuration_age(now), now - self.started_at, self.settings.bounds.contact
        if not configuration.rate_holders.is_usable(age, uptime, contact_bound):
            return 0
        if configuration is not self._cold_rate_quotas_configuration:
            self._cold_rate_quotas_configuration, self._cold_rate_quotas = configuration, {}
        quota = self._cold_rate_quotas.get((rate, salt))
        if quota is None:
            quota = self._cold_rate_quotas[rate, salt] = configuration.rate_holders.quota(self.key, rate, salt)
        return quota

    def record_isolation_change(self, isolation: Isolation | None) -> None:
        """Records the backends that exist before new isolation settings take effect, if those settings differ."""
        if isolation != self.settings.isolation:
            self._backend_ids_before_isolation = frozenset(self.backends.by_id)

    def backends_before_isolation(self) -> int:
        """Returns how many listed backends predate the isolation settings, as far as this process knows."""
        return len(self._backend_ids_before_isolation & self.backends.by_id.keys())


class RetryBudgets:
    """The retry budgets of this router, one per service.

    A budget is created on first use, from the settings at that time. It starts
    counting at the start of the process.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._by_service: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            bounds = self._state.settings.bounds
            budget = RetryBudget(bounds.budget_window, bounds.budget_ratio, bounds.budget_slack, self._state.started_at)
            self._by_service[service] = budget
        return budget
