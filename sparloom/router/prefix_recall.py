"""What controllers remember of long prefixes: told now and then, asked for at a start."""

import asyncio

from sparloom.dynamic_timeout import PrefixPlacement
from sparloom.membership import CONTROLLER
from sparloom.prefix_cache import PlacementQuery, PrefixPlacements
from sparloom.transport import monotonic

from .in_flight_gossip import LONG

TURNS = 20


class PrefixRecall:
    """This router's side of the memory.

    A router that starts knows nothing of what runners keep, and after a loss
    of all power none does; each long prompt was then read anew, mostly at
    another runner than the one that keeps it. So each router tells one near
    controller what it sent, and asks all of them at its start. The first
    requests wait a moment for the answers.
    """

    def __init__(self, state):
        self.state, self.batch = state, {}
        self.began, self.asked, self.heard = None, frozenset(), set()

    def on_prompt_sent(self, post, parts):
        """A prompt went out: its long parts are told with the next batch."""
        self.batch.update({(post.number, k): n for k, n in parts if n >= LONG})

    def tick(self, turn):
        """Tells the batch once a second, and asks again those that have not answered yet."""
        k = self.state
        if self.batch and turn % TURNS == 0:
            near = min(
                (p for p in k.swim.alive() if p.role == CONTROLLER),
                key=lambda p: (p.zone != k.settings.zone, p.key),
                default=None,
            )
            if near:
                items = list(self.batch.items())
                self.batch = {}
                for i in range(0, len(items), 48):
                    k.datagrams.send(
                        near.key, PrefixPlacements([PrefixPlacement(r, part, n) for (r, part), n in items[i : i + 48]])
                    )
        if self.began is not None and turn % 4 == 0:
            if monotonic() - self.began > k.settings.bounds.contact:
                self.began = None
            else:
                self._ask()

    def request(self):
        """Asks all controllers at the start; ``known`` is set once they answered, or after a moment."""
        if self.began is None:
            self.began = monotonic()
            self._ask()
            asyncio.get_running_loop().call_later(
                self.state.settings.bounds.contact.total_seconds() / 30, self.state.prefixes_known.set
            )

    def _ask(self):
        k = self.state
        self.asked = frozenset(k.seeds) | {p.key for p in k.swim.alive() if p.role == CONTROLLER}
        for to in self.asked - self.heard:
            k.datagrams.send(to, PlacementQuery(k.key))

    def on_message(self, src, rec):
        """Takes an answer: what it tells is older than all that this router has seen itself."""
        k = self.state
        for r in rec.placements:
            id = k.backends.ids_by_number.get(r.resource)
            if id is not None:
                k.backends.by_id[id].cached.add_recalled(r.prefix, r.tokens)
        self.heard.add(src)
        if self.began is not None and self.asked <= self.heard:
            self.began = None
            k.prefixes_known.set()
