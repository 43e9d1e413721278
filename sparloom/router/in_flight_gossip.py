"""Exchanges in-flight counts and long prompts with the other routers.

In a small fleet each router sends to every other. Where a tier of relays
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

# Prompt parts of so many tokens are worth telling the others.
LONG_PREFIX_TOKENS = 1024
GOSSIP_MESSAGES = (InFlightUpdate, MemberUpdate, GroupAggregate, FleetTotal)
# Changed counts go out every 4th tick (200 ms), unchanged ones every 20th (1 s).
CHANGED_TICKS = 4
UNCHANGED_TICKS = 20
# A relay takes its own total every 2nd tick.
RELAY_VIEW_TICKS = 2
MAXIMUM_UINT16 = 0xFFFF
MAXIMUM_UINT32 = 0xFFFFFFFF


class InFlightGossip:
    """Sends what this router has in flight, and takes in what the others have.

    Attributes
    ----------
    instance_id: the random number of this run of the process, in each message.
    aggregator: the counts that go through the tier of relays.
    tiered: whether messages went through the tier at the last tick.
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
        self._ids_by_short_number: dict[int, list[str]] = {}
        self._instances_version: int | None = None
        self._instances: dict[str, int] = {}

    def on_prompt_sent(self, backend: Backend, parts: Sequence[tuple[int, int]]) -> None:
        """A prompt went out: the other routers are told at once of its long parts, given as (hash, tokens)."""
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
        """A prompt's prefill is over; that of a long one is told at the next tick."""
        self._urgent = self._urgent or slot.prefill_tokens >= LONG_PREFIX_TOKENS
        slot.on_prefilled(slot.prefill_tokens)

    # -- sending ------------------------------------------------------------
    def _reports(self) -> list[InFlightReport]:
        """What this router has in flight now, per backend."""
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
        """Sends what is due; called every 50 ms with the number of the tick."""
        state = self.state
        was_tiered = self.tiered
        self.tiered = state.relay_tier.exists or self.aggregator.is_active
        if not state.relay_tier.exists and (turn % CHANGED_TICKS == 0 or self._urgent):
            self._send_directly(turn)
        if self.tiered and turn % UNCHANGED_TICKS == 0:
            state.in_flight.note_callers(self._router_instances().items(), monotonic())
        if self.tiered or was_tiered:
            self._send_through_tier(was_tiered)
            view_ticks = RELAY_VIEW_TICKS if self.aggregator.is_relay else CHANGED_TICKS
            if turn % view_ticks == 0 or not self.tiered:
                self._take_view(monotonic())

    def _send_directly(self, turn: int) -> None:
        """Sends to each router; nothing where nothing has changed, but for every 20th tick."""
        reports = self._reports()
        if reports == self._last_sent and turn % UNCHANGED_TICKS and not self._unsent_placements:
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
            self._hand_over_direct_counts()
        self.aggregator.update_membership(now, self.state.relay_tier, instances, self.upstream.parent)
        self._report_to_aggregator(now)
        self._send_aggregates(now)
        self._urgent = False

    def _hand_over_direct_counts(self) -> None:
        """The tier is new: what peers told directly counts until they are heard through the tier."""
        backends = self.state.backends.by_id
        for key, peer in self.state.in_flight.peers.items():
            loads = {short_id(backends[id].number): figures for id, figures in peer.loads.items() if id in backends}
            self.aggregator.on_direct_update(peer.received_at, key, peer.instance_id, peer.sequence, loads)

    def _report_to_aggregator(self, now: timedelta) -> None:
        loads = {short_id(report.resource): report.load() for report in self._reports()}
        self.aggregator.update_in_flight(now, loads, self.state.fleet_size.divisor)

    def _send_aggregates(self, now: timedelta) -> None:
        for message in self.aggregator.due_messages(now):
            self.membership.datagrams.send(message.destinations, message.message)

    def _send_soon(self) -> None:
        """Long prompts don't wait for the next tick."""
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
            self._take_view(now)
        self._send_soon()

    @staticmethod
    def call_later(delay: timedelta, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Calls a function after a while."""
        return asyncio.get_running_loop().call_later(delay.total_seconds(), callback)

    def _router_instances(self) -> dict[str, int]:
        """The instance of each other router by key; made anew when membership has changed."""
        swim = self.membership.swim
        if self._instances_version != swim.version:
            self._instances_version = swim.version
            self._instances = {peer.key: peer.instance_id for peer in swim.alive() if peer.role == ROUTER}
        return self._instances

    def _take_view(self, now: timedelta) -> None:
        """Makes the tier's total the count of all other routers."""
        state = self.state
        if self._indexed_backends is not state.backends:
            self._index_backends()
        in_flight = state.in_flight
        recent = [key for key, peer in in_flight.peers.items() if now - peer.received_at <= in_flight.stale]
        view = self.aggregator.peers_in_flight(now, recent)
        if view is None:
            in_flight.shared = None
            return
        ids = self._ids_by_short_number
        in_flight.shared = {id: figures for number, figures in view.items() for id in ids.get(number, ())}

    def _index_backends(self) -> None:
        self._indexed_backends = self.state.backends
        self._ids_by_short_number = {}
        for backend in self._indexed_backends.by_id.values():
            self._ids_by_short_number.setdefault(short_id(backend.number), []).append(backend.id)

    # -- receiving ------------------------------------------------------------
    def on_message(self, message: InFlightUpdate | MemberUpdate | GroupAggregate | FleetTotal, source: str) -> None:
        """Takes in another router's message; one of an instance that has ended is dropped."""
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
        self._note_placements(update.placements)

    def _on_aggregate(self, message: MemberUpdate | GroupAggregate | FleetTotal) -> None:
        now = monotonic()
        self.aggregator.on_message(now, message)
        self._note_placements(message.placements)
        if isinstance(message, FleetTotal):
            self._take_view(now)
        self._send_soon()

    def _note_placements(self, placements: Iterable[PrefixPlacement]) -> None:
        """What others sent to a backend is in its prefix cache."""
        backends = self.state.backends
        for placement in placements:
            id = backends.ids_by_number.get(placement.resource)
            if id is not None:
                backends.by_id[id].cached.add(((placement.prefix, placement.tokens),))

    def on_departed(self, key: str, instance: int | None) -> None:
        """All instances at an address but the given one have ended: they hold nothing any more."""
        self.state.in_flight.drop_node(key, instance)
        self.aggregator.on_departed(key, instance)

    def known_fleet_sizes(self) -> dict[str, int]:
        """By how many the others divide, as far as they told; 0 for '' while a first total is waited for."""
        now, state, instances = monotonic(), self.state, self._router_instances()
        if state.in_flight.shared is not None:
            through_tier: dict[str, int] = self.aggregator.fleet_sizes(now)
            return through_tier
        sizes = {key: peer.fleet_size for key, peer in state.in_flight.peers.items() if key in instances}
        if self.tiered and now - state.started_at < state.settings.bounds.contact:
            sizes[""] = 0
        return sizes
