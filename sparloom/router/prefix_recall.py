"""Exchanges long prefixes with controllers, so that a router that starts knows what backends have cached."""

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

# A batch goes out once a second, a query is repeated every 200 ms.
BATCH_TICKS = 20
QUERY_TICKS = 4
PLACEMENTS_PER_DATAGRAM = 48
# Requests wait for the answers for this part of the contact bound.
WAIT_PART = 30


class PrefixRecall:
    """The router's side of the placement table that controllers keep.

    A router that starts doesn't know what backends have cached, and after a
    loss of all power no router does; without this each long prompt would be
    prefilled anew, mostly at another backend than the one that has it. So each
    router sends one near controller its long prefixes, and queries all
    controllers at its start. The first requests wait a moment for the answers.

    Attributes
    ----------
    batch: tokens by (backend number, part), not yet sent.
    """

    def __init__(self, state: RouterState, membership: MembershipService) -> None:
        self.state = state
        self.membership = membership
        self.batch: dict[tuple[int, int], int] = {}
        self._queried_at: timedelta | None = None
        self._queried: frozenset[str] = frozenset()
        self._answered: set[str] = set()

    def on_prompt_sent(self, backend: Backend, parts: Sequence[tuple[int, int]]) -> None:
        """A prompt went out: its long parts, given as (hash, tokens), go into the next batch."""
        self.batch.update({(backend.number, part): tokens for part, tokens in parts if tokens >= LONG_PREFIX_TOKENS})

    def tick(self, turn: int) -> None:
        """Sends the batch once a second, and queries again the controllers that haven't answered yet."""
        if self.batch and turn % BATCH_TICKS == 0:
            self._send_batch()
        if self._queried_at is not None and turn % QUERY_TICKS == 0:
            if monotonic() - self._queried_at > self.state.settings.bounds.contact:
                self._queried_at = None
            else:
                self._send_queries()

    def _send_batch(self) -> None:
        """Sends the batch to one controller of this zone, or else of another; keeps it where there is none."""
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
        """Queries all controllers at the start; ``prefixes_known`` is set once they answered, or after a moment."""
        if self._queried_at is not None:
            return
        self._queried_at = monotonic()
        self._send_queries()
        wait = self.state.settings.bounds.contact.total_seconds() / WAIT_PART
        asyncio.get_running_loop().call_later(wait, self.state.prefixes_known.set)

    def _send_queries(self) -> None:
        self._queried = frozenset(self.state.seeds) | {peer.key for peer in self._controllers()}
        for controller in self._queried - self._answered:
            self.membership.datagrams.send(controller, PlacementQuery(self.state.key))

    def on_message(self, source: str, answer: PrefixPlacements) -> None:
        """Takes in an answer; what it tells is older than all that this router has seen itself."""
        backends = self.state.backends
        for placement in answer.placements:
            id = backends.ids_by_number.get(placement.resource)
            if id is not None:
                backends.by_id[id].cached.add_recalled(placement.prefix, placement.tokens)
        self._answered.add(source)
        if self._queried_at is not None and self._queried <= self._answered:
            self._queried_at = None
            self.state.prefixes_known.set()
