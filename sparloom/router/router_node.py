"""Composes the services of a router that need no client: membership, feed, gossip, queues, relay."""

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

DEFAULT_CACHE_TOKENS = 1 << 18
# Membership is looked at in each fourth tick, beginning with the first.
MEMBERSHIP_TICKS = 4


def _delegated(owner: str, name: str) -> Any:
    """A property that stands for an attribute of one of the parts."""
    return property(
        lambda node: getattr(getattr(node, owner), name),
        lambda node, value: setattr(getattr(node, owner), name, value),
    )


class RouterNode(Service):
    """A router without its front.

    Attributes
    ----------
    snapshots: the present state; its attributes are reached through the node as well.
    budgets: retry budgets by service.
    membership: SWIM, the datagram socket and the tick.
    queues: admission queues by service.
    feed_client: follows the feed.
    gossip: exchanges in-flight counts with the other routers.
    prefix_recall: exchanges long prefixes with controllers.
    usage: counts what begins, and reports it to the primary; None where the platform expects no duties.
    rollouts: watches roll-outs; None where versions don't matter.
    relay_server: passes the feed on.
    zone_prober: finds zones unreachable, and reachable again.
    serviceability: whether any runner is in reach.
    """

    settings = _delegated("snapshots", "settings")
    key = _delegated("snapshots", "key")
    seeds = _delegated("snapshots", "seeds")
    configuration = _delegated("snapshots", "configuration")
    endpoint_list = _delegated("snapshots", "endpoint_list")
    backends = _delegated("snapshots", "backends")
    confirmed = _delegated("snapshots", "confirmed")
    started_at = _delegated("snapshots", "started_at")
    in_flight = _delegated("snapshots", "in_flight")
    fleet_size = _delegated("snapshots", "fleet_size")
    relay_tier = _delegated("snapshots", "relay_tier")
    prefixes_known = _delegated("snapshots", "prefixes_known")
    zones = _delegated("snapshots", "zones")
    random = _delegated("snapshots", "random")
    ready = _delegated("snapshots", "ready")
    note_isolation = _delegated("snapshots", "note_isolation")
    lives_before_isolation = _delegated("snapshots", "lives_before_isolation")
    swim = _delegated("membership", "swim")
    datagrams = _delegated("membership", "datagrams")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.snapshots = state = RouterState(settings)
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
        # The routers, with their zones, for which the tier was planned.
        self.tier_members: frozenset[tuple[str, str]] | None = None

    def _usage_reporter(self, settings: Settings) -> UsageReporter | None:
        if not settings.duties.expected:
            return None
        # Other deployments don't spend time and memory of a start on it.
        from .usage_reporter import UsageReporter

        return UsageReporter(self.snapshots, self.membership, self.queues)

    def _rollout_watcher(self, settings: Settings) -> RolloutWatcher | None:
        if not settings.rollouts.enabled:
            return None
        # Nor do they on this.
        from .rollout_watcher import RolloutWatcher

        return RolloutWatcher(self.snapshots, self.membership, lambda: self.shelf.version(CONFIGURATION)[0])

    @property
    def shelf(self) -> VersionedStore:
        """The versions of what this router has."""
        return self.feed_client.store

    def forwarding_services(self) -> ForwardingServices:
        """What the forwarding of requests needs of this router."""
        state = self.snapshots
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

    def nodes(self) -> int:
        """Among how many routers budgets are divided; one that is partitioned doesn't take itself for the only one."""
        return self.snapshots.fleet_size.divisor

    def budget(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        return self.budgets.of(service)

    def use(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        self.snapshots.note_isolation(settings.isolation)
        self.snapshots.settings = settings
        self.membership.update_seeds()

    async def on_start(self) -> None:
        """Starts the parts; the tick begins after them."""
        await self.membership.open()
        await self.add_runtime_dependency(self.relay_server)
        await self.add_runtime_dependency(self.feed_client)

    async def on_stop(self) -> None:
        """Leaves the fleet before anything else ends, then closes the connections to the backends."""
        if self.membership.is_open and self.usage is not None:
            self.usage.send(monotonic())
        self.membership.close()
        self.zone_prober.close()
        for backend in self.snapshots.backends.by_id.values():
            if backend.client_session:
                await backend.client_session.close()

    @Service.task
    async def _beat(self) -> None:
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
        if turn % MEMBERSHIP_TICKS == 1:
            self.serviceability.tick(monotonic())
            self.update_fleet_size()
            self.update_relay_tier()
        self.gossip.tick(turn)
        self.prefix_recall.tick(turn)
        for reporter in (self.usage, self.rollouts):
            if reporter is not None:
                reporter.tick()

    def update_fleet_size(self) -> None:
        """Notes among how many routers capacity is divided."""
        state = self.snapshots
        remembered = self.membership.remembered_routers()
        announced = state.endpoint_list.fleet_size if state.endpoint_list else 0
        state.fleet_size.update(
            monotonic(),
            1 + len(self.membership.routers()),
            announced,
            self.gossip.known_fleet_sizes(),
            bisect(remembered, state.key),
            1 + len(remembered),
        )

    def update_relay_tier(self) -> None:
        """Plans the tier of relays again when membership has changed; suspects are still members."""
        state = self.snapshots
        routers = self.membership.routers()
        members = frozenset((peer.key, peer.zone) for peer in routers)
        if members != self.tier_members:
            self.tier_members = members
            state.relay_tier = plan_tier(state.key, state.settings.zone, list(members))
        suspects = frozenset(peer.key for peer in routers if peer.state == SUSPECT)
        self.feed_client.upstream.update_tier(monotonic(), state.relay_tier, suspects)

    def update_backends(self) -> None:
        """Takes the next snapshot of the backends, after a change came."""
        state = self.snapshots
        versions = state.configuration.versions if state.configuration else {}
        if self.rollouts is not None:
            self.rollouts.on_configuration(versions)
        if state.endpoint_list is not None:
            evacuated = state.configuration.evacuated_zones if state.configuration else ()
            runners = state.endpoint_list.runners
            state.backends = state.backends.renew(runners, self._cache_tokens, evacuated, monotonic(), versions)
        if state.configuration is not None and state.endpoint_list is not None and not state.prefixes_known.is_set():
            self.prefix_recall.request()

    def _cache_tokens(self, service: str) -> int:
        """How many tokens a backend of a service caches."""
        configuration = self.snapshots.configuration
        found = configuration.services.get(service) if configuration else None
        return found.cache_tokens if found and found.cache_tokens else DEFAULT_CACHE_TOKENS

    async def wait_known(self, maximum: timedelta) -> None:
        """Waits after a start until this router can place prompts, for a third of the contact bound at most.

        It can once the configuration and the endpoint list came, and the
        controllers have answered which prefixes are cached where.
        """
        known = self.snapshots.prefixes_known
        if known.is_set():
            return
        try:
            async with asyncio.timeout(min(maximum, self.snapshots.settings.bounds.contact / 3).total_seconds()):
                await known.wait()
        except TimeoutError:
            pass
