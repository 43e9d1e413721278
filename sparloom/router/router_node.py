"""The part of a router behind the front end: ``RouterNode`` composes membership, feed, gossip, queues and relay."""

from __future__ import annotations

import asyncio
from bisect import bisect
from typing import TYPE_CHECKING, Any

from mode import Service

from sparloom.feed import CONFIGURATION
from sparloom.membership import SUSPECT
from sparloom.prefix_cache import PrefixPlacements
from sparloom.relay import plan_tier
from sparloom.transport import monotonic

from .admission_queues import AdmissionQueues
from .feed_client import FeedClient
from .forwarding_services import ForwardingServices
from .in_flight_gossip import GOSSIP_MESSAGES, InFlightGossip
from .membership_service import MembershipService
from .prefix_recall import PrefixRecall
from .relay_server import RelayServer
from .router_state import RetryBudgets, RouterState
from .serviceability import Serviceability
from .zone_prober import ZoneProber

if TYPE_CHECKING:
    from datetime import timedelta

    from sparloom.codec import Record
    from sparloom.feed import VersionedStore
    from sparloom.retry import RetryBudget
    from sparloom.settings import Settings

    from .rollout_watcher import RolloutWatcher
    from .usage_reporter import UsageReporter

# Prefix cache size of a backend whose service doesn't state one.
DEFAULT_CACHE_TOKENS = 1 << 18
# Readiness, the fleet size and the relay tier are updated on every fourth tick, starting with the first.
MEMBERSHIP_INTERVAL_TICKS = 4


def _delegated_property(owner: str, name: str) -> Any:
    """Returns a property that reads and writes an attribute of one of the components."""
    return property(
        lambda node: getattr(getattr(node, owner), name),
        lambda node, value: setattr(getattr(node, owner), name, value),
    )


class RouterNode(Service):
    """A router without its front end.

    Attributes
    ----------
    router_state: the current state; most of its attributes are also available on the node.
    budgets: retry budgets by service.
    membership: SWIM, the datagram socket and the tick.
    queues: admission queues by service.
    feed_client: subscribes to the feed of configurations and endpoint lists.
    gossip: exchanges in-flight counts with the other routers.
    prefix_recall: exchanges long prefixes with controllers.
    usage: counts started requests and reports them to the primary; None where the platform expects no duties.
    rollouts: watches roll-outs; None where roll-outs are disabled.
    relay_server: serves the feed to other routers.
    zone_prober: probes zones to detect that they are unreachable, and that they are reachable again.
    serviceability: tracks whether enough runners are reachable.
    """

    settings = _delegated_property("router_state", "settings")
    key = _delegated_property("router_state", "key")
    seeds = _delegated_property("router_state", "seeds")
    configuration = _delegated_property("router_state", "configuration")
    endpoint_list = _delegated_property("router_state", "endpoint_list")
    backends = _delegated_property("router_state", "backends")
    confirmed = _delegated_property("router_state", "confirmed")
    started_at = _delegated_property("router_state", "started_at")
    in_flight = _delegated_property("router_state", "in_flight")
    fleet_size = _delegated_property("router_state", "fleet_size")
    relay_tier = _delegated_property("router_state", "relay_tier")
    prefixes_known = _delegated_property("router_state", "prefixes_known")
    zones = _delegated_property("router_state", "zones")
    random = _delegated_property("router_state", "random")
    ready = _delegated_property("router_state", "ready")
    record_isolation_change = _delegated_property("router_state", "record_isolation_change")
    backends_before_isolation = _delegated_property("router_state", "backends_before_isolation")
    swim = _delegated_property("membership", "swim")
    datagrams = _delegated_property("membership", "datagrams")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.router_state = state = RouterState(settings)
        self.budgets = RetryBudgets(state)
        self.queues = AdmissionQueues(state)
        self.membership = MembershipService(
            state, on_message=self._on_message, on_departed=self._on_departed, on_tick=self._on_tick
        )
        self.feed_client = FeedClient(
            state, self.membership, on_endpoints=self.update_fleet_size, on_change=self.update_backends
        )
        self.gossip = InFlightGossip(state, self.membership, self.feed_client.upstream)
        self.prefix_recall = PrefixRecall(state, self.membership)
        self.usage = self._usage_reporter(settings)
        self.rollouts = self._rollout_watcher(settings)
        self.relay_server = RelayServer(state, self.feed_client)
        self.zone_prober = ZoneProber(state)
        self.serviceability = Serviceability(state)
        # The (key, zone) pairs of the routers for which the relay tier was planned.
        self.tier_members: frozenset[tuple[str, str]] | None = None

    def _usage_reporter(self, settings: Settings) -> UsageReporter | None:
        if not settings.duties.expected:
            return None
        # Imported here so that other deployments don't spend startup time and memory on it.
        from .usage_reporter import UsageReporter

        return UsageReporter(self.router_state, self.membership, self.queues)

    def _rollout_watcher(self, settings: Settings) -> RolloutWatcher | None:
        if not settings.rollouts.enabled:
            return None
        # Imported here for the same reason as UsageReporter.
        from .rollout_watcher import RolloutWatcher

        return RolloutWatcher(self.router_state, self.membership, lambda: self.feed_store.version(CONFIGURATION)[0])

    @property
    def feed_store(self) -> VersionedStore:
        """The versions of the configuration and the endpoint list that this router has."""
        return self.feed_client.store

    def forwarding_services(self) -> ForwardingServices:
        """Returns the components that the forwarding of requests depends on."""
        state = self.router_state
        return ForwardingServices(
            state,
            state.in_flight,
            self.budgets,
            self.queues,
            self.gossip,
            self.prefix_recall,
            self.usage,
            state.random,
            self.rollouts,
        )

    def fleet_size_divisor(self) -> int:
        """Returns the number of routers by which budgets are divided; a network partition doesn't lower it to 1."""
        return self.router_state.fleet_size.divisor

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        return self.budgets.for_service(service)

    def apply_settings(self, settings: Settings) -> None:
        """Applies new, validated settings."""
        self.router_state.record_isolation_change(settings.isolation)
        self.router_state.settings = settings
        self.membership.update_seeds()

    async def on_start(self) -> None:
        """Starts the components; the tick starts after them."""
        await self.membership.open()
        await self.add_runtime_dependency(self.relay_server)
        await self.add_runtime_dependency(self.feed_client)

    async def on_stop(self) -> None:
        """Leaves the fleet before the other components stop, then closes the connections to the backends."""
        if self.membership.is_open and self.usage is not None:
            self.usage.send(monotonic())
        self.membership.close()
        self.zone_prober.close()
        for backend in self.router_state.backends.by_id.values():
            if backend.client_session:
                await backend.client_session.close()

    @Service.task
    async def _run_ticks(self) -> None:
        await self.membership.run(lambda: self.should_stop)

    def _on_message(self, source: str, message: Record) -> None:
        if isinstance(message, GOSSIP_MESSAGES):
            self.gossip.on_message(message, source)
        elif isinstance(message, PrefixPlacements):
            self.prefix_recall.on_message(source, message)
        elif self.usage is not None:
            self.usage.on_message(source, message)

    def _on_departed(self, key: str, instance: int | None) -> None:
        self.gossip.on_departed(key, instance)

    def _on_tick(self, turn: int) -> None:
        self.queues.tick()
        self.zone_prober.tick()
        if turn % MEMBERSHIP_INTERVAL_TICKS == 1:
            self.serviceability.tick(monotonic())
            self.update_fleet_size()
            self.update_relay_tier()
        self.gossip.tick(turn)
        self.prefix_recall.tick(turn)
        for reporter in (self.usage, self.rollouts):
            if reporter is not None:
                reporter.tick()

    def update_fleet_size(self) -> None:
        """Updates the number of routers by which capacity is divided."""
        state = self.router_state
        remembered = self.membership.remembered_routers()
        announced = state.endpoint_list.fleet_size if state.endpoint_list else 0
        state.fleet_size.update(
            monotonic(),
            1 + len(self.membership.routers()),
            announced,
            self.gossip.reported_fleet_sizes(),
            bisect(remembered, state.key),
            1 + len(remembered),
        )

    def update_relay_tier(self) -> None:
        """Plans the relay tier anew if the membership has changed; suspected routers are still members."""
        state = self.router_state
        routers = self.membership.routers()
        members = frozenset((peer.key, peer.zone) for peer in routers)
        if members != self.tier_members:
            self.tier_members = members
            state.relay_tier = plan_tier(state.key, state.settings.zone, list(members))
        suspects = frozenset(peer.key for peer in routers if peer.state == SUSPECT)
        self.feed_client.upstream.update_tier(monotonic(), state.relay_tier, suspects)

    def update_backends(self) -> None:
        """Rebuilds the backend table after a change of the configuration or the endpoint list."""
        state = self.router_state
        versions = state.configuration.versions if state.configuration else {}
        if self.rollouts is not None:
            self.rollouts.on_configuration(versions)
        if state.endpoint_list is not None:
            evacuated = state.configuration.evacuated_zones if state.configuration else ()
            runners = state.endpoint_list.runners
            state.backends = state.backends.updated(runners, self._cache_tokens, evacuated, monotonic(), versions)
        if state.configuration is not None and state.endpoint_list is not None and not state.prefixes_known.is_set():
            self.prefix_recall.request()

    def _cache_tokens(self, service: str) -> int:
        """Returns the prefix cache size, in tokens, of the backends of a service."""
        configuration = self.router_state.configuration
        configured = configuration.services.get(service) if configuration else None
        return configured.cache_tokens if configured and configured.cache_tokens else DEFAULT_CACHE_TOKENS

    async def wait_for_prefixes(self, maximum: timedelta) -> None:
        """Waits after a start until this router can place prompts, for at most a third of the contact bound.

        It can do so when it has the configuration and the endpoint list, and
        the controllers have answered which prefixes each backend caches.
        """
        known = self.router_state.prefixes_known
        if known.is_set():
            return
        try:
            async with asyncio.timeout(min(maximum, self.router_state.settings.bounds.contact / 3).total_seconds()):
                await known.wait()
        except TimeoutError:
            pass
