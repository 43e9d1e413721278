"""Admission control of a router: one controller per service, and the requests waiting for admission."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from sparloom.admission import AdmissionController, Admitted, Capacity, Demand, Queued, Rejected, members_of
from sparloom.transport import monotonic

from .timeout_buckets import maximum_in_flight

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sparloom.admission import Member
    from sparloom.configuration import Configuration, Route, Service

    from .backends import Backend
    from .request import Request
    from .router_state import RouterState

# Minimum interval between recomputations of the other routers' total; the routers report changed counts at this
# interval.
PEER_TOTAL_INTERVAL = timedelta(milliseconds=200)
# The connection limit per runner for services without a configured limit.
DEFAULT_CONNECTION_LIMIT = 64


class RequestCounts(NamedTuple):
    """Requests of a service: in flight at runners, waiting to be admitted, and rejected since the process started."""

    in_flight: int
    waiting: int
    rejected: int


class _MembersCache(NamedTuple):
    """Reserves of members and owners of routes, with the configuration and the declared members they come from."""

    configuration: Configuration
    declared: Sequence[Member]
    reserves: dict[str, float]
    owners: dict[str, str]


class _CapacityCache(NamedTuple):
    """A service's capacity, with the inputs it was computed from."""

    backends: Sequence[Backend]
    service: Service | None
    divisor: int
    admitting: bool
    total_slots: int
    capacity: Capacity


class _ConnectionsCache(NamedTuple):
    """A service's connection limits by runner id, with the inputs they were computed from."""

    backends: Sequence[Backend]
    service: Service | None
    divisor: int
    position: int
    limits: dict[str, int]


class AdmissionQueues:
    """Admission control of this router: one controller per service, and the requests waiting for admission.

    Capacity, connection limits and members are recomputed only after a change
    of their inputs. Configuration, declared members, services and backends are
    immutable snapshots, which are compared by identity; the fleet size is
    compared by value.

    Attributes
    ----------
    state : the router's state: configuration, backends, fleet size, requests in flight.
    controllers : the admission controller of each service.
    waiting : the future of each queued request, by request id.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.controllers: dict[str, AdmissionController] = {}
        self.waiting: dict[int, asyncio.Future[Admitted | Rejected]] = {}
        self._ids = count(1)
        self._members: _MembersCache | None = None
        self._capacities: dict[str, _CapacityCache] = {}
        self._connections: dict[str, _ConnectionsCache] = {}
        # Per service: when the total of the other routers' requests was computed, and the total.
        self._peers_in_flight: dict[str, tuple[timedelta, int]] = {}

    def _configuration(self) -> Configuration:
        """Return the current configuration; requests are admitted only once there is one."""
        configuration = self.state.configuration
        assert configuration is not None, "admission control is used before the first configuration"
        return configuration

    def _current_members(self) -> _MembersCache:
        configuration, declared = self._configuration(), self.state.settings.members
        cached = self._members
        if cached and cached.configuration is configuration and cached.declared is declared:
            return cached
        members = members_of(configuration, declared)
        owners = {}
        if declared:
            for route in configuration.routes:
                owners[route.name] = next((member.name for member in members if member.owns(route)), "")
        reserves = {member.name: member.reserve for member in members}
        self._members = _MembersCache(configuration, declared, reserves, owners)
        return self._members

    def _capacity(self, service_name: str) -> _CapacityCache:
        state, fleet_size = self.state, self.state.fleet_size
        backends, service = state.backends.of(service_name), self._configuration().services.get(service_name)
        cached = self._capacities.get(service_name)
        division = (fleet_size.divisor, fleet_size.admitting)
        if (
            cached
            and cached.backends is backends
            and cached.service is service
            and (cached.divisor, cached.admitting) == division
        ):
            return cached
        default_slots = service.slots if service else 0
        total_slots = sum(maximum_in_flight(backend.slots or default_slots) for backend in backends)
        tokens = fleet_size.quota(service.cache_tokens * len(backends)) if service else 0
        capacity = Capacity(fleet_size.quota(total_slots), tokens)
        cache = _CapacityCache(backends, service, fleet_size.divisor, fleet_size.admitting, total_slots, capacity)
        self._capacities[service_name] = cache
        return cache

    def connections(self, service_name: str) -> dict[str, int]:
        """Return how many connections this router may have to each runner of a service, by runner id.

        A router whose share is zero at every runner may have one connection to each.
        """
        state, fleet_size = self.state, self.state.fleet_size
        backends = state.backends.connected_to(service_name)
        service = self._configuration().services.get(service_name)
        cached = self._connections.get(service_name)
        position = (fleet_size.divisor, fleet_size.index)
        if (
            cached
            and cached.backends is backends
            and cached.service is service
            and (cached.divisor, cached.position) == position
        ):
            return cached.limits
        limit = service.connection_limit if service else DEFAULT_CONNECTION_LIMIT
        limits = {backend.id: fleet_size.indivisible_quota(limit, backend.number) for backend in backends}
        if not any(limits.values()):
            limits = dict.fromkeys(limits, 1)
        self._connections[service_name] = _ConnectionsCache(
            backends, service, fleet_size.divisor, fleet_size.index, limits
        )
        return limits

    def controller(self, service_name: str) -> AdmissionController:
        """Return the admission controller of a service; it is created at the first request."""
        controller = self.controllers.get(service_name)
        if controller is None:
            capacity, reserves = self._capacity(service_name).capacity, self._current_members().reserves
            controller = self.controllers[service_name] = AdmissionController(capacity, dict(reserves))
        return controller

    def member(self, route: Route) -> str:
        """Return the name of the member that a route belongs to."""
        owners = self._current_members().owners
        return owners.get(route.name, "" if self.state.settings.members else route.host)

    async def acquire(self, service_name: str, request: Request) -> Admitted | Rejected:
        """Wait until a request is admitted or rejected."""
        request_id = next(self._ids)
        controller, demand = self.controller(service_name), Demand(sum(tokens for _, tokens in request.parts))
        self._tick(service_name, controller)
        route = request.route
        decision = controller.acquire(
            monotonic(), request_id, self.member(route), request.priority, demand, request.deadline
        )
        if not isinstance(decision, Queued):
            return decision
        future: asyncio.Future[Admitted | Rejected] = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            # The client has disconnected; the request may have been admitted just before.
            self.release(service_name, request_id)
            raise
        finally:
            self.waiting.pop(request_id, None)

    def release(self, service_name: str, request_id: int) -> None:
        """Release the capacity of a request that has ended, and admit waiting requests."""
        self._notify(self.controllers[service_name].release(monotonic(), request_id))

    def tick(self) -> None:
        """Update all controllers with the current time, capacity and reserves."""
        if self.state.configuration is not None:
            for service_name, controller in self.controllers.items():
                self._tick(service_name, controller)

    def _tick(self, service_name: str, controller: AdmissionController) -> None:
        now, cached = monotonic(), self._capacity(service_name)
        reserves = self._current_members().reserves
        controller.extra_slots = 0
        if controller.is_saturated():
            reserved = cached.total_slots * sum(reserves.values())
            in_flight = self._in_flight(service_name, now)
            controller.extra_slots = self.state.fleet_size.surplus(cached.total_slots, reserved, in_flight)
        self._notify(controller.tick(now, cached.capacity, reserves))

    def _in_flight(self, service_name: str, now: timedelta) -> int:
        """Return the requests of all routers in flight at a service.

        This router's own count is exact; the others' total may be ``PEER_TOTAL_INTERVAL`` old.
        """
        in_flight, backends = self.state.in_flight, self.state.backends.of(service_name)
        own = sum(in_flight.own.get(backend.id, 0) for backend in backends)
        computed_at, peers = self._peers_in_flight.get(service_name, (None, 0))
        if computed_at is None or now - computed_at >= PEER_TOTAL_INTERVAL:
            peers = sum(in_flight.count(backend.id, now) for backend in backends) - own
            self._peers_in_flight[service_name] = (now, peers)
        return own + peers

    def load(self, service_name: str) -> RequestCounts:
        """Return the counts of this router's requests for a service."""
        own = self.state.in_flight.own
        in_flight = sum(own.get(backend.id, 0) for backend in self.state.backends.of(service_name))
        controller = self.controllers.get(service_name)
        waiting = sum(map(len, controller.queues.values())) if controller else 0
        rejected = sum(controller.rejections.values()) if controller else 0
        return RequestCounts(in_flight, waiting, rejected)

    def _notify(self, decisions: Iterable[Admitted | Rejected]) -> None:
        """Wake the waiting requests that have been admitted or rejected."""
        for decision in decisions:
            future = self.waiting.get(decision.id)
            if future is not None and not future.done():
                future.set_result(decision)

    def statistics(self) -> dict[str, dict[str, dict[str, float]]]:
        """Return the statistics of each service, by member."""
        now = monotonic()
        return {service_name: controller.statistics(now) for service_name, controller in self.controllers.items()}


__all__ = ["AdmissionQueues", "Admitted", "Rejected"]
