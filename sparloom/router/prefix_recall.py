"""Exchange of long prefixes with controllers (``PrefixRecall``): a starting router learns what backends have cached."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sparloom.dynamic_timeout import PrefixPlacement
from sparloom.membership import CONTROLLER
from sparloom.prefix_cache import PlacementQuery, PrefixPlacements
from sparloom.transport import monotonic

from .in_flight_gossip import LONG_PREFIX_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

    from sparloom.membership import Peer

    from .backends import Backend
    from .membership_service import MembershipService
    from .router_state import RouterState

# A batch is sent every 20th tick (1 s).
BATCH_INTERVAL_TICKS = 20
# A query is repeated every 4th tick (200 ms).
QUERY_INTERVAL_TICKS = 4
PLACEMENTS_PER_DATAGRAM = 48
# Requests wait for the answers for the contact bound divided by this.
ANSWER_TIMEOUT_DIVISOR = 30


class PrefixRecall:
    """The router's side of the placement table that controllers store.

    A starting router doesn't know what backends have cached, and after a full
    power loss no router does. Each long prompt would then be prefilled again,
    mostly on another backend than the one that has cached it. Each router
    therefore sends its long prefixes to one nearby controller, and queries all
    controllers when it starts. The first requests wait briefly for the answers.

    Attributes
    ----------
    batch: tokens by (backend number, part hash), not yet sent.
    """

    def __init__(self, state: RouterState, membership: MembershipService) -> None:
        self.state = state
        self.membership = membership
        self.batch: dict[tuple[int, int], int] = {}
        self._queried_at: timedelta | None = None
        self._queried_controllers: frozenset[str] = frozenset()
        self._answered_controllers: set[str] = set()

    def on_prompt_sent(self, backend: Backend, parts: Sequence[tuple[int, int]]) -> None:
        """Adds the long parts of a prompt that was sent, given as (hash, tokens), to the next batch."""
        self.batch.update({(backend.number, part): tokens for part, tokens in parts if tokens >= LONG_PREFIX_TOKENS})

    def tick(self, turn: int) -> None:
        """Sends the batch once a second, and repeats the query to controllers that haven't answered."""
        if self.batch and turn % BATCH_INTERVAL_TICKS == 0:
            self._send_batch()
        if self._queried_at is not None and turn % QUERY_INTERVAL_TICKS == 0:
            if monotonic() - self._queried_at > self.state.settings.bounds.contact:
                self._queried_at = None
            else:
                self._send_queries()

    def _send_batch(self) -> None:
        """Sends the batch to one controller, preferably of this zone; retains it if no controller is alive."""
        zone = self.state.settings.zone
        controllers = self._controllers()
        if not controllers:
            return
        nearest = min(controllers, key=lambda peer: (peer.zone != zone, peer.key))
        placements = [PrefixPlacement(number, part, tokens) for (number, part), tokens in self.batch.items()]
        self.batch = {}
        for start in range(0, len(placements), PLACEMENTS_PER_DATAGRAM):
            chunk = placements[start : start + PLACEMENTS_PER_DATAGRAM]
            self.membership.datagrams.send(nearest.key, PrefixPlacements(chunk))

    def _controllers(self) -> list[Peer]:
        return [peer for peer in self.membership.swim.alive() if peer.role == CONTROLLER]

    def request(self) -> None:
        """Queries all controllers at the start; ``prefixes_known`` is set when all have answered or after a timeout."""
        if self._queried_at is not None:
            return
        self._queried_at = monotonic()
        self._send_queries()
        timeout_s = self.state.settings.bounds.contact.total_seconds() / ANSWER_TIMEOUT_DIVISOR
        asyncio.get_running_loop().call_later(timeout_s, self.state.prefixes_known.set)

    def _send_queries(self) -> None:
        self._queried_controllers = frozenset(self.state.seeds) | {peer.key for peer in self._controllers()}
        for controller in self._queried_controllers - self._answered_controllers:
            self.membership.datagrams.send(controller, PlacementQuery(self.state.key))

    def on_message(self, source: str, answer: PrefixPlacements) -> None:
        """Applies an answer; its placements count as older than all that this router has observed itself."""
        backends = self.state.backends
        for placement in answer.placements:
            id = backends.ids_by_number.get(placement.resource)
            if id is not None:
                backends.by_id[id].cached.add_recalled(placement.prefix, placement.tokens)
        self._answered_controllers.add(source)
        if self._queried_at is not None and self._queried_controllers <= self._answered_controllers:
            self._queried_at = None
            self.state.prefixes_known.set()
