"""Membership protocol members on a simulated network with seeded randomness and links that can be cut."""

import random
from itertools import count

from sparloom.membership import ALIVE, CONTROLLER, ROUTER, Peer, Swim, SwimTiming

from .clock import MS, Clock


class Net(Clock):
    """A network of members; the first three names are the seed nodes, and "a", "b" and "c" are controllers.

    >>> net = Net("abcd"); net.run(4000); sorted(net.sees("d"))
    ['a', 'b', 'c']
    """

    def __init__(self, names, seed=1, loss=0.03):
        super().__init__()
        self.rng = random.Random(seed)
        self.nodes, self.off, self.cuts, self.loss, self.incarnations = {}, set(), set(), loss, count(1)
        self.seeds = tuple(f"{name}:1" for name in names[:3])
        for name in names:
            self.boot(name)

    def boot(self, name):
        """Starts a member as a new incarnation."""
        incarnation = next(self.incarnations)
        role = CONTROLLER if name in "abc" else ROUTER
        self.nodes[name] = Swim(
            Peer(f"{name}:1", role, "z", "", incarnation, 0, ALIVE),
            self.seeds,
            SwimTiming.of(3000 * MS),
            random.Random(self.rng.random()),
        )
        self.off.discard(name)
        self.tick(name, incarnation)

    def tick(self, name, incarnation):
        """Advances a member every 50 ms until it stops or a new incarnation starts."""
        member = self.nodes[name]
        if name in self.off or member.local_peer.instance_id != incarnation:
            return
        self.send(name, member.tick(self.now))
        self.at(50 * MS, lambda: self.tick(name, incarnation))

    def send(self, name, messages):
        """Sends a member's datagrams; some are lost."""
        for message in messages:
            to = message.to.split(":")[0]
            if (name, to) not in self.cuts and self.rng.random() > self.loss:
                self.at(
                    (1 + self.rng.random()) * MS,
                    lambda to=to, message=message: self._deliver(name, to, message.record),
                )

    def _deliver(self, sender, to, record):
        if to in self.nodes and to not in self.off:
            self.send(to, self.nodes[to].receive(self.now, f"{sender}:1", record))

    def sees(self, name):
        """The names of the members that a member believes alive."""
        return {peer.key.split(":")[0] for peer in self.nodes[name].alive()}
