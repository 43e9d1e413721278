"""Members on a simulated net: seeded luck, links that can be cut."""

import random
from itertools import count

from sparloom.membership import ALIVE, CONTROLLER, ROUTER, Peer, Swim, SwimTiming

from .clock import MS, Clock


class Net(Clock):
    """Some members, each with links that can be cut; the first three are the seeds and controllers.

    >>> net = Net("abcd"); net.run(4000); sorted(net.sees("d"))
    ['a', 'b', 'c']
    """

    def __init__(self, names, seed=1, loss=0.03):
        super().__init__()
        self.rng = random.Random(seed)
        self.nodes, self.off, self.cuts, self.loss, self.lives = {}, set(), set(), loss, count(1)
        self.seeds = tuple(f"{n}:1" for n in names[:3])
        for n in names:
            self.boot(n)

    def boot(self, n):
        """Starts a member, with a new life."""
        life = next(self.lives)
        role = CONTROLLER if n in "abc" else ROUTER
        self.nodes[n] = Swim(
            Peer(f"{n}:1", role, "z", "", life, 0, ALIVE),
            self.seeds,
            SwimTiming.of(3000 * MS),
            random.Random(self.rng.random()),
        )
        self.off.discard(n)
        self.tick(n, life)

    def tick(self, n, life):
        """Moves a member on, and again every 50 ms while that life runs."""
        s = self.nodes[n]
        if n in self.off or s.local_peer.instance_id != life:
            return
        self.send(n, s.tick(self.now))
        self.at(50 * MS, lambda: self.tick(n, life))

    def send(self, n, msgs):
        """Puts a member's datagrams on the net; some are lost."""
        for m in msgs:
            to = m.to.split(":")[0]
            if (n, to) not in self.cuts and self.rng.random() > self.loss:
                self.at((1 + self.rng.random()) * MS, lambda to=to, m=m: self._arrive(n, to, m.record))

    def _arrive(self, n, to, rec):
        if to in self.nodes and to not in self.off:
            self.send(to, self.nodes[to].receive(self.now, f"{n}:1", rec))

    def sees(self, n):
        """The names that a member believes up."""
        return {p.key.split(":")[0] for p in self.nodes[n].alive()}
