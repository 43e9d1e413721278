"""Admission control of a router: one controller per service, and the requests that wait at it."""

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

# How often the other routers' requests in flight are summed anew: as often as they report them.
PEERS_SUM_INTERVAL = timedelta(milliseconds=200)
# Connections to each runner of a service without a configured limit.
DEFAULT_CONNECTION_LIMIT = 64


class InHand(NamedTuple):
    """Requests of a service: at runners, waiting to be admitted, and rejected since the process started."""

    in_flight: int
    waiting: int
    rejected: int


class _MembersCache(NamedTuple):
    """Members, and from which configuration and declaration they were derived."""

    configuration: Configuration
    declared: Sequence[Member]
    shares: dict[str, float]
    owners: dict[str, str]


class _CapacityCache(NamedTuple):
    """A service's capacity, and what it was computed from."""

    backends: Sequence[Backend]
    service: Service | None
    divisor: int
    admitting: bool
    total_slots: int
    capacity: Capacity


class _ConnectionsCache(NamedTuple):
    """A service's connection limits by runner id, and what they were computed from."""

    backends: Sequence[Backend]
    service: Service | None
    divisor: int
    position: int
    limits: dict[str, int]


class AdmissionQueues:
    """All admission controllers of this router.

    Capacity, connection limits and members are computed anew only after a
    change. Snapshots are replaced whole, so their identity shows a change.

    Attributes
    ----------
    state : the router's state: configuration, backends, fleet size, requests in flight.
    controllers : the admission controller of each service.
    waiting : the future of each request in a queue, by request id.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.controllers: dict[str, AdmissionController] = {}
        self.waiting: dict[int, asyncio.Future[Admitted | Rejected]] = {}
        self._ids = count(1)
        self._members: _MembersCache | None = None
        self._capacities: dict[str, _CapacityCache] = {}
        self._connections: dict[str, _ConnectionsCache] = {}
        # Per service: when the other routers' requests were summed, and the sum.
        self._peers_in_flight: dict[str, tuple[timedelta, int]] = {}

    def _configuration(self) -> Configuration:
        """The configuration in force; requests come here only once there is one."""
        configuration = self.state.configuration
        assert configuration is not None, "a request was admitted without a configuration"
        return configuration

    def _current_members(self) -> _MembersCache:
        configuration, declared = self._configuration(), self.state.settings.members
        known = self._members
        if known and known.configuration is configuration and known.declared is declared:
            return known
        members = members_of(configuration, declared)
        owners = {}
        if declared:
            for route in configuration.routes:
                owners[route.name] = next((member.name for member in members if member.owns(route)), "")
        shares = {member.name: member.reserve for member in members}
        self._members = _MembersCache(configuration, declared, shares, owners)
        return self._members

    def _capacity(self, service_name: str) -> _CapacityCache:
        state, fleet_size = self.state, self.state.fleet_size
        backends, service = state.backends.of(service_name), self._configuration().services.get(service_name)
        known = self._capacities.get(service_name)
        divided_by = (fleet_size.divisor, fleet_size.admitting)
        if (
            known
            and known.backends is backends
            and known.service is service
            and (known.divisor, known.admitting) == divided_by
        ):
            return known
        default_slots = service.slots if service else 0
        total_slots = sum(maximum_in_flight(backend.slots or default_slots) for backend in backends)
        tokens = fleet_size.share(service.cache_tokens * len(backends)) if service else 0
        capacity = Capacity(fleet_size.share(total_slots), tokens)
        cache = _CapacityCache(backends, service, fleet_size.divisor, fleet_size.admitting, total_slots, capacity)
        self._capacities[service_name] = cache
        return cache

    def connections(self, service_name: str) -> dict[str, int]:
        """How many connections this router may hold to each runner of a service, by runner id.

        Where this router's share is none at any runner, it may hold one to each.
        """
        state, fleet_size = self.state, self.state.fleet_size
        backends = state.backends.connected_to(service_name)
        service = self._configuration().services.get(service_name)
        known = self._connections.get(service_name)
        position = (fleet_size.divisor, fleet_size.index)
        if (
            known
            and known.backends is backends
            and known.service is service
            and (known.divisor, known.position) == position
        ):
            return known.limits
        limit = service.connection_limit if service else DEFAULT_CONNECTION_LIMIT
        limits = {backend.id: fleet_size.indivisible_share(limit, backend.number) for backend in backends}
        if not any(limits.values()):
            limits = dict.fromkeys(limits, 1)
        self._connections[service_name] = _ConnectionsCache(
            backends, service, fleet_size.divisor, fleet_size.index, limits
        )
        return limits

    def controller(self, service_name: str) -> AdmissionController:
        """The admission controller of a service; made at the first request for it."""
        controller = self.controllers.get(service_name)
        if controller is None:
            capacity, shares = self._capacity(service_name).capacity, self._current_members().shares
            controller = self.controllers[service_name] = AdmissionController(capacity, dict(shares))
        return controller

    def member(self, route: Route) -> str:
        """The name of the member that a route belongs to."""
        owners = self._current_members().owners
        return owners.get(route.name, "" if self.state.settings.members else route.host)

    async def enter(self, service_name: str, request: Request) -> Admitted | Rejected:
        """Waits until a request is admitted or rejected."""
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
            # The client has gone; the request may have been admitted just before.
            self.leave(service_name, request_id)
            raise
        finally:
            self.waiting.pop(request_id, None)

    def leave(self, service_name: str, request_id: int) -> None:
        """A request has ended; those that wait may follow."""
        self._notify(self.controllers[service_name].release(monotonic(), request_id))

    def tick(self) -> None:
        """Time moves on for all queues."""
        if self.state.configuration is not None:
            for service_name, controller in self.controllers.items():
                self._tick(service_name, controller)

    def _tick(self, service_name: str, controller: AdmissionController) -> None:
        now, known = monotonic(), self._capacity(service_name)
        shares = self._current_members().shares
        controller.extra_slots = 0
        if controller.is_saturated():
            reserved = known.total_slots * sum(shares.values())
            in_flight = self._in_flight(service_name, now)
            controller.extra_slots = self.state.fleet_size.surplus(known.total_slots, reserved, in_flight)
        self._notify(controller.tick(now, known.capacity, shares))

    def _in_flight(self, service_name: str, now: timedelta) -> int:
        """Requests in flight at a service over all routers: this one's are exact, the others' as last summed."""
        in_flight, backends = self.state.in_flight, self.state.backends.of(service_name)
        own = sum(in_flight.own.get(backend.id, 0) for backend in backends)
        summed_at, peers = self._peers_in_flight.get(service_name, (None, 0))
        if summed_at is None or now - summed_at >= PEERS_SUM_INTERVAL:
            peers = sum(in_flight.count(backend.id, now) for backend in backends) - own
            self._peers_in_flight[service_name] = (now, peers)
        return own + peers

    def load(self, service_name: str) -> InHand:
        """What this router has in hand for a service."""
        own = self.state.in_flight.own
        in_flight = sum(own.get(backend.id, 0) for backend in self.state.backends.of(service_name))
        controller = self.controllers.get(service_name)
        waiting = sum(map(len, controller.queues.values())) if controller else 0
        rejected = sum(controller.rejections.values()) if controller else 0
        return InHand(in_flight, waiting, rejected)

    def _notify(self, decisions: Iterable[Admitted | Rejected]) -> None:
        """Wakes the requests that were decided on."""
        for decision in decisions:
            future = self.waiting.get(decision.id)
            if future is not None and not future.done():
                future.set_result(decision)

    def statistics(self) -> dict[str, dict[str, dict[str, float]]]:
        """The statistics of each service, by member."""
        now = monotonic()
        return {service_name: controller.statistics(now) for service_name, controller in self.controllers.items()}


__all__ = ["AdmissionQueues", "Admitted", "Rejected"]
