"""Chooses the service and the backend of each attempt, and takes a slot there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from sparloom.load_balancing import Candidate, choose, is_heavy_prefill, rendezvous_weight
from sparloom.metrics import count_event
from sparloom.transport import monotonic

from .attempt import BackendChoice
from .cold_rate import fleet_limit
from .router_state import STALE_ENDPOINTS_DRAIN_FRACTION
from .timeout_buckets import buckets_for

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from datetime import timedelta
    from random import Random

    from sparloom.isolation import Isolation

    from .backends import Backend
    from .forwarding_services import ForwardingServices
    from .request import Request

# A candidate's penalty is the sum of those that apply. A lower sum ranks first, whatever the load.
UNRESPONSIVE_FOR_PEERS = 1
SUSPECTED_HERE = 2
ALREADY_TRIED = 4


@define(frozen=True, slots=True, eq=False)
class _Eligible:
    """The backends that may serve a request, cached with the snapshots they were derived from."""

    backends: Sequence[Backend]
    isolation: Isolation
    allowed: Sequence[Backend]


def choose_service(request: Request, random: Random) -> str:
    """Draw one of the route's services by weight; a route with a single service needs no random draw."""
    split = request.route.weighted_services
    if len(split) == 1:
        return split[0][0]
    remaining = random.random() * sum(weight for _, weight in split)
    for name, weight in split:
        remaining -= weight
        if remaining < 0 and weight > 0:
            return name
    # Rounding may leave a small remainder, which goes to the last service with a weight.
    return next(name for name, weight in reversed(split) if weight > 0)


class BackendChooser:
    """Chooses the backends for one request's attempts, each backend at most once.

    Attributes
    ----------
    service: the service that the request is sent to.
    tried: ids of the backends that an attempt was made at.
    """

    def __init__(self, services: ForwardingServices, request: Request) -> None:
        self._services = services
        self._request = request
        self._eligible: _Eligible | None = None
        self.service = choose_service(request, services.random)
        self.tried: set[str] = set()

    def eligible(self) -> Sequence[Backend]:
        """Return the backends that may serve the request; isolation of members' prompts may exclude some.

        There are none if the service is of an unsupported kind: a request can't run there, and its response
        would not show that.
        """
        configuration = self._services.state.configuration
        service = configuration.services.get(self.service) if configuration else None
        if service is not None and not service.supported:
            return ()
        return self._allowed(self._services.state.backends.of(self.service))

    def _allowed(self, backends: Sequence[Backend]) -> Sequence[Backend]:
        """Return the backends that isolation allows to receive the request's prompt."""
        isolation = self._services.state.settings.isolation
        if isolation is None:
            return backends
        cached = self._eligible
        if cached is None or cached.backends is not backends or cached.isolation is not isolation:
            allowed = isolation.allowed(self._request.member, self._request.part_ids, backends)
            cached = self._eligible = _Eligible(backends, isolation, allowed)
        return cached.allowed

    def has_untried(self) -> bool:
        """Whether an eligible backend has not been tried yet."""
        return any(backend.id not in self.tried for backend in self.eligible())

    def take(self, reserved: bool) -> BackendChoice | None:
        """Take a slot at the best untried backend with capacity; return None if there is none.

        ``reserved``: the request was admitted from its member's reserve.
        """
        now = monotonic()
        return self._take_trial_backend(reserved, now) or self._take_best(self.eligible(), reserved, now)

    def _take_trial_backend(self, reserved: bool, now: timedelta) -> BackendChoice | None:
        """Take a slot at a backend of the version on trial, if the rollout sends this request there.

        Only the first attempt goes to the version on trial. Further attempts go to serving versions, so that no
        request depends on a version that may be faulty.
        """
        rollouts = self._services.rollouts
        if rollouts is None or self.tried:
            return None
        candidates = rollouts.trial_backends(self.service, self._request.route.name, now)
        if not candidates:
            return None
        choice = self._take_best(self._allowed(candidates), reserved, now)
        if choice is None:
            rollouts.release_exposure_token(self.service)
        return choice

    def _take_best(self, eligible: Sequence[Backend], reserved: bool, now: timedelta) -> BackendChoice | None:
        """Take a slot at the best of the given backends."""
        backends = {backend.id: backend for backend in eligible}
        connection_limits = self._services.queues.connections(self.service)
        count_event("weighed runners", len(backends))
        candidates = [self._candidate(backend, now) for backend in backends.values()]
        endpoints_uncertain = self._services.state.endpoints_may_be_stale(now)
        shared_tokens = sum(tokens for _, tokens in self._request.shared_parts)
        for candidate in choose(candidates, shared_tokens):
            backend = backends[candidate.id]
            if not self._may_use(backend, candidate.cold, connection_limits, endpoints_uncertain, now):
                continue
            choice = self._take_slot(backend, candidate, now, reserved)
            if choice is not None:
                self.tried.add(backend.id)
                if candidate.cold:
                    backend.cold_sends.record(now)
                self._announce_prompt(backend)
                return choice
        return None

    def _may_use(
        self,
        backend: Backend,
        cold: bool,
        connection_limits: Mapping[str, int],
        endpoints_uncertain: bool,
        now: timedelta,
    ) -> bool:
        """Whether an attempt may be made at a backend now, apart from the need for a free slot."""
        if backend.id in self.tried or backend.open_calls >= connection_limits[backend.id]:
            return False
        if endpoints_uncertain and not backend.is_confirmed_active(now, self._confirmation_lifetime()):
            return False
        return not cold or self._within_cold_rate(backend, now)

    def _confirmation_lifetime(self) -> timedelta:
        """Return how long a response confirms that a backend isn't shutting down.

        This is shorter than the drain bound, so a request that is sent in this time still arrives within the bound.
        """
        return self._services.state.settings.bounds.drain * STALE_ENDPOINTS_DRAIN_FRACTION

    def _within_cold_rate(self, backend: Backend, now: timedelta) -> bool:
        """Whether this router's share of a cold backend's rate limit allows one more request."""
        state = self._services.state
        service = state.configuration.services.get(backend.service) if state.configuration else None
        limit = fleet_limit(service, state.settings.cold)
        if limit is None:
            return True
        return backend.cold_sends.is_allowed(now, state.cold_rate_quota(limit, backend.number, now))

    def _candidate(self, backend: Backend, now: timedelta) -> Candidate:
        in_flight = self._services.in_flight
        return Candidate(
            backend.id,
            backend.cached.prefill_tokens(self._request.parts),
            in_flight.prefill_tokens(backend.id, now),
            in_flight.count(backend.id, now),
            backend.slots,
            backend.is_cold(now),
            self._penalty(backend, now),
            backend.zone == self._services.state.settings.zone,
            backend.has_idle_connection(),
            rendezvous_weight(self._request.affinity_key, backend.number),
        )

    def _penalty(self, backend: Backend, now: timedelta) -> int:
        return (
            SUSPECTED_HERE * (backend.is_suspected(now) or self._services.state.zones.is_unreachable(backend.zone))
            + UNRESPONSIVE_FOR_PEERS * (self._services.in_flight.unresponsive(backend.id, now) > 0)
            + ALREADY_TRIED * (backend.id in self.tried)
        )

    def _take_slot(
        self, backend: Backend, candidate: Candidate, now: timedelta, reserved: bool
    ) -> BackendChoice | None:
        buckets = buckets_for(self._request.route, backend.slots, reserved)
        prefill_tokens = candidate.prefill_tokens
        slot = self._services.in_flight.acquire(backend.id, buckets, now, prefill_tokens)
        if slot is None:
            return None
        deprioritized = is_heavy_prefill(prefill_tokens, backend.cached.capacity, backend.slots)
        return BackendChoice(backend, slot, deprioritized, candidate.calls)

    def _announce_prompt(self, backend: Backend) -> None:
        """Record here, at the other routers and at a controller that the backend will have the prompt cached."""
        shared = self._request.shared_parts
        backend.cached.add(self._request.parts)
        self._services.gossip.on_prompt_sent(backend, shared)
        self._services.prefix_recall.on_prompt_sent(backend, shared)
