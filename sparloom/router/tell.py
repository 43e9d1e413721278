"""What this router tells the others of its calls, and what it hears from them."""
import os

from sparloom.link import steady
from sparloom.members import ROUTER
from sparloom.timeouts import Held, Holding, Read

LONG = 1024


class Tell:
    """Words about calls in flight and about long prompts, both ways."""

    def __init__(self, know):
        self.know = know
        self.life, self.seq, self.said = int.from_bytes(os.urandom(7)), 0, None
        self.reads, self.soon = [], False

    def sent(self, post, parts):
        """A prompt went out: the other routers hear at once of its long parts."""
        self.reads += [Read(post.number, k, n) for k, n in parts if n >= LONG]
        if self.reads:
            self.beat(0)

    def was_read(self, slot):
        """A prompt has been read; a long one is told at the next beat."""
        self.soon = self.soon or slot.tokens >= LONG
        slot.read(slot.tokens)

    def beat(self, turn):
        """Tells what this router holds, if it changed or was not told for long."""
        k, now = self.know, steady()
        posts = k.fleet.posts
        held = [
            Held(posts[id].number, min(n, 0xFFFF), min(k.counts.weight.get(id, 0), 0xFFFFFFFF), int(posts[id].silent > 0 and posts[id].doubted(now)), 0, 0, 0)
            for id, n in k.counts.own.items() if id in posts
        ]
        if held == self.said and turn % 20 and not self.reads:
            return
        self.said, self.seq, self.soon = held, self.seq + 1, False
        rec, self.reads = Holding(k.key, self.life, self.seq, k.crowd.divisor, held, self.reads), []
        for p in k.swim.alive():
            if p.role == ROUTER:
                k.net.send(p.key, rec)

    def hear(self, rec):
        """Takes another router's word."""
        k = self.know
        names = k.fleet.numbers
        k.counts.hear(rec, steady(), names)
        for r in rec.reads:
            if r.resource in names:
                k.fleet.posts[names[r.resource]].kept.saw(((r.part, r.tokens),))
