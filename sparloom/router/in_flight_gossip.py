"""Gossip of in-flight counts and long prompt prefixes between routers (``InFlightGossip``).

In a small fleet each router sends directly to every other. Where a relay tier
exists, messages go through it (``sparloom.aggregation``).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sparloom.aggregation import FleetTotal, GroupAggregate, InFlightAggregator, MemberUpdate, short_id
from sparloom.dynamic_timeout import InFlightReport, InFlightUpdate, PrefixPlacement
from sparloom.membership import ROUTER
from sparloom.transport import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from datetime import timedelta

    from sparloom.dynamic_timeout import Slot
    from sparloom.relay import Upstream

    from .backends import Backend, BackendTable
    from .membership_service import MembershipService
    from .router_state import RouterState

# Minimum size of a prompt part whose placement is sent to the other routers.
LONG_PREFIX_TOKENS = 1024
GOSSIP_MESSAGES = (InFlightUpdate, MemberUpdate, GroupAggregate, FleetTotal)
# Changed counts are sent every 4th tick (200 ms).
CHANGED_INTERVAL_TICKS = 4
# Unchanged counts are sent every 20th tick (1 s).
UNCHANGED_INTERVAL_TICKS = 20
# A relay updates its own counts from the aggregated total every 2nd tick (100 ms).
RELAY_VIEW_INTERVAL_TICKS = 2
MAXIMUM_UINT16 = 0xFFFF
MAXIMUM_UINT32 = 0xFFFFFFFF


class InFlightGossip:
    """Sends this router's in-flight counts to the other routers and applies theirs.

    Attributes
    ----------
    instance_id: random ID of this run of the process, which every message carries.
    aggregator: the counts that are exchanged through the relay tier.
    tiered: whether messages went through the relay tier at the last tick.
    """

    def __init__(self, state: RouterState, membership: MembershipService, upstream: Upstream) -> None:
        self.state = state
        self.membership = membership
        self.upstream = upstream
        self.instance_id = state.instance_id
        self.aggregator = InFlightAggregator(state.key, state.instance_id, state.settings.bounds.contact)
        self.tiered = False
        self._last_sent: list[InFlightReport] | None = None
        self._unsent_placements: list[PrefixPlacement] = []
        self._urgent = False
        self._timer: asyncio.TimerHandle | None = None
        self._indexed_backends: BackendTable | None = None
        self._ids_by_short_id: dict[int, list[str]] = {}
        self._instances_version: int | None = None
        self._instances: dict[str, int] = {}

    def on_prompt_sent(self, backend: Backend, parts: Sequence[tuple[int, int]]) -> None:
        """Sends the placement of a prompt's long parts, given as (hash, tokens), to the other routers at once."""
        placements = [
            PrefixPlacement(backend.number, part, tokens) for part, tokens in parts if tokens >= LONG_PREFIX_TOKENS
        ]
        if placements and self.tiered:
            self._report_to_aggregator(monotonic())
            self.aggregator.add_placements(monotonic(), placements)
            self._send_soon()
        elif placements:
            self._unsent_placements += placements
            self._send_directly(0)

    def on_prefilled(self, slot: Slot) -> None:
        """Records the end of a prompt's prefill; that of a long prompt is sent at the next tick."""
        self._urgent = self._urgent or slot.prefill_tokens >= LONG_PREFIX_TOKENS
        slot.on_prefilled(slot.prefill_tokens)

    # -- sending ------------------------------------------------------------
    def _reports(self) -> list[InFlightReport]:
        """Returns this router's present in-flight counts per backend."""
        now = monotonic()
        in_flight, backends = self.state.in_flight, self.state.backends.by_id
        return [
            InFlightReport(
                backends[id].number,
                min(calls, MAXIMUM_UINT16),
                min(in_flight.own_prefill_tokens.get(id, 0), MAXIMUM_UINT32),
                int(backends[id].unresponsive_calls > 0 and backends[id].is_suspected(now)),
                0,
                0,
                0,
            )
            for id, calls in in_flight.own.items()
            if id in backends
        ]

    def tick(self, turn: int) -> None:
        """Sends the messages that are due; called every 50 ms with the number of the tick."""
        state = self.state
        was_tiered = self.tiered
        self.tiered = state.relay_tier.exists or self.aggregator.is_active
        if not state.relay_tier.exists and (turn % CHANGED_INTERVAL_TICKS == 0 or self._urgent):
            self._send_directly(turn)
        if self.tiered and turn % UNCHANGED_INTERVAL_TICKS == 0:
            state.in_flight.note_callers(self._router_instances().items(), monotonic())
        if self.tiered or was_tiered:
            self._send_through_tier(was_tiered)
            view_ticks = RELAY_VIEW_INTERVAL_TICKS if self.aggregator.is_relay else CHANGED_INTERVAL_TICKS
            if turn % view_ticks == 0 or not self.tiered:
                self._update_shared_counts(monotonic())

    def _send_directly(self, turn: int) -> None:
        """Sends an update to each router; unchanged counts are sent on every 20th tick only."""
        reports = self._reports()
        if reports == self._last_sent and turn % UNCHANGED_INTERVAL_TICKS and not self._unsent_placements:
            return
        self._last_sent = reports
        self._urgent = False
        update = InFlightUpdate(
            self.state.key,
            self.instance_id,
            self.aggregator.next_sequence(monotonic()),
            self.state.fleet_size.divisor,
            reports,
            self._unsent_placements,
        )
        self._unsent_placements = []
        self.membership.datagrams.send(tuple(self._router_instances()), update)

    def _send_through_tier(self, was_tiered: bool) -> None:
        now, instances = monotonic(), self._router_instances()
        if not was_tiered:
            self._transfer_direct_counts()
        self.aggregator.update_membership(now, self.state.relay_tier, instances, self.upstream.parent)
        self._report_to_aggregator(now)
        self._send_aggregates(now)
        self._urgent = False

    def _transfer_direct_counts(self) -> None:
        """Passes the peers' direct counts to the aggregator, where they count until the tier delivers newer ones."""
        backends = self.state.backends.by_id
        for key, peer in self.state.in_flight.peers.items():
            loads = {short_id(backends[id].number): load for id, load in peer.loads.items() if id in backends}
            self.aggregator.on_direct_update(peer.received_at, key, peer.instance_id, peer.sequence, loads)

    def _report_to_aggregator(self, now: timedelta) -> None:
        loads = {short_id(report.resource): report.load() for report in self._reports()}
        self.aggregator.update_in_flight(now, loads, self.state.fleet_size.divisor)

    def _send_aggregates(self, now: timedelta) -> None:
        for message in self.aggregator.due_messages(now):
            self.membership.datagrams.send(message.destinations, message.message)

    def _send_soon(self) -> None:
        """Sends the placements of long prompts without waiting for the next tick."""
        delay = self.aggregator.flush_delay(monotonic())
        if delay is not None and not delay and not self.aggregator.is_relay:
            self._send_aggregates(monotonic())
        elif delay is not None and self._timer is None:
            self._timer = self.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = monotonic()
        self._send_aggregates(now)
        if self.aggregator.is_relay:
            self._update_shared_counts(now)
        self._send_soon()

    @staticmethod
    def call_later(delay: timedelta, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedules a function call after a delay."""
        return asyncio.get_running_loop().call_later(delay.total_seconds(), callback)

    def _router_instances(self) -> dict[str, int]:
        """Returns the instance ID of each other router by key; rebuilt when the membership has changed."""
        swim = self.membership.swim
        if self._instances_version != swim.version:
            self._instances_version = swim.version
            self._instances = {peer.key: peer.instance_id for peer in swim.alive() if peer.role == ROUTER}
        return self._instances

    def _update_shared_counts(self, now: timedelta) -> None:
        """Replaces the other routers' shared counts by the total from the relay tier."""
        state = self.state
        if self._indexed_backends is not state.backends:
            self._index_backends()
        in_flight = state.in_flight
        recent = [key for key, peer in in_flight.peers.items() if now - peer.received_at <= in_flight.stale]
        view = self.aggregator.peers_in_flight(now, recent)
        if view is None:
            in_flight.shared = None
            return
        ids = self._ids_by_short_id
        in_flight.shared = {id: load for short, load in view.items() for id in ids.get(short, ())}

    def _index_backends(self) -> None:
        self._indexed_backends = self.state.backends
        self._ids_by_short_id = {}
        for backend in self._indexed_backends.by_id.values():
            self._ids_by_short_id.setdefault(short_id(backend.number), []).append(backend.id)

    # -- receiving ------------------------------------------------------------
    def on_message(self, message: InFlightUpdate | MemberUpdate | GroupAggregate | FleetTotal, source: str) -> None:
        """Handles another router's message; drops it if it is from an instance that has ended."""
        if isinstance(message, InFlightUpdate):
            if self.membership.swim.is_current(message.node, message.instance_id):
                self._on_update(message)
        elif self.membership.swim.is_current(message.key, message.instance_id):
            self._on_aggregate(message)

    def _on_update(self, update: InFlightUpdate) -> None:
        now, state = monotonic(), self.state
        state.in_flight.on_update(update, now, state.backends.ids_by_number)
        if self.tiered:
            loads = {short_id(report.resource): report.load() for report in update.reports}
            self.aggregator.on_direct_update(now, update.node, update.instance_id, update.sequence, loads)
        self._add_placements(update.placements)

    def _on_aggregate(self, message: MemberUpdate | GroupAggregate | FleetTotal) -> None:
        now = monotonic()
        self.aggregator.on_message(now, message)
        self._add_placements(message.placements)
        if isinstance(message, FleetTotal):
            self._update_shared_counts(now)
        self._send_soon()

    def _add_placements(self, placements: Iterable[PrefixPlacement]) -> None:
        """Adds the prompt parts that other routers sent to a backend to its prefix cache."""
        backends = self.state.backends
        for placement in placements:
            id = backends.ids_by_number.get(placement.resource)
            if id is not None:
                backends.by_id[id].cached.add(((placement.prefix, placement.tokens),))

    def on_departed(self, key: str, instance: int | None) -> None:
        """Drops the counts of all instances at an address except the given one: the others have ended."""
        self.state.in_flight.drop_node(key, instance)
        self.aggregator.on_departed(key, instance)

    def reported_fleet_sizes(self) -> dict[str, int]:
        """Returns the fleet size by which each other router divides, by key.

        The key '' has the value 0 while the first total of the relay tier is pending.
        """
        now, state, instances = monotonic(), self.state, self._router_instances()
        if state.in_flight.shared is not None:
            through_tier: dict[str, int] = self.aggregator.fleet_sizes(now)
            return through_tier
        sizes = {key: peer.fleet_size for key, peer in state.in_flight.peers.items() if key in instances}
        if self.tiered and now - state.started_at < state.settings.bounds.contact:
            sizes[""] = 0
        return sizes
