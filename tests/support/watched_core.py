"""A simulated core whose every event is checked against the model checker's invariants, and told as a timeline."""

from attrs import define

from simulator.check.history import History, Violation
from simulator.core import Core
from simulator.timeline import EVENTS
from sparloom.consensus import Aborted, Committed, ReadConfirmed


@define(frozen=True, slots=True)
class Order:
    """A client's order at one member's life: a confirmed read that began at ``floor``, then a write upon it."""

    node: str
    floor: bytes
    blob: bytes = b""


class WatchedCore(Core):
    """Each event is checked as it happens.

    ``removed`` names the machines that are lost for good.
    """

    def __init__(self, *args, **kwargs):
        self.history, self.orders, self.rows = History(), {}, []
        self.numbers = iter(range(1, 1 << 20))
        self.removed = set()
        super().__init__(*args, **kwargs)

    # -- the checks ---------------------------------------------------------
    def act(self, n, actions):
        """Carries out a member's actions; checks what they claim first."""
        for action in actions or ():
            if isinstance(action, Committed):
                self._decided(n, action)
            elif isinstance(action, Aborted):
                self.orders.pop(action.id, None)
        super().act(n, actions)
        for action in actions or ():
            if isinstance(action, ReadConfirmed):
                self._confirmed(n, action)
        ledger, life = self.nodes[n]
        if ledger.leading():
            self.history = self.history.leads(ledger.leadership.epoch, (n, life))

    def _decided(self, n, action):
        view, data = self.nodes[n][0].leadership.view, action.data
        self.on_every_holder(view, data)
        if action.id == 0:
            self.history = self.history.new_primary(view.epoch, data.blob)
        elif action.id in self.orders:
            if self.orders.pop(action.id).blob != data.blob:
                raise Violation(f"{n} acknowledged another change than the one asked for")
            self.history = self.history.acknowledge(view.epoch, data.blob)

    def _confirmed(self, n, action):
        order = self.orders.pop(action.id, None)
        if order is None or not self.nodes[n][0].leading():
            return
        data = action.data
        self.history = self.history.show(order.floor, data.blob)
        self.on_every_holder(self.nodes[n][0].leadership.view, data)
        number = next(self.numbers)
        blob = data.blob + b"%d." % number
        actions = self.nodes[n][0].write(self.now, number, data.revision + 1, blob)
        if actions is not None:
            self.orders[number] = Order(n, order.floor, blob)
            self.act(n, actions)

    def on_every_holder(self, view, data):
        """What a client may rely on is on the disk of every holder that still has its disk."""
        for n, member in self.members.items():
            disk = self.disks.get(n)
            holds = member.id in view.holders and n not in self.removed and disk and disk[0].id == member.id
            if holds and disk[1].version < data.version:
                raise Violation(f"{data.blob.decode()!r} is decided, but it is not on the disk of {n}")

    # -- what happens -------------------------------------------------------
    def tell(self, word, n):
        """Adds a row to the timeline."""
        self.rows.append((int(self.now.total_seconds() * 1000), n, word))

    def do(self, word, n):
        """Carries out a word of the timelines at a member."""
        self.tell(word, n)
        EVENTS[word](self, n)

    def lose(self, word, n):
        """Loses a disk; a machine that is ``removed`` never comes back."""
        self.do("wipe", n)
        if word == "remove":
            self.removed.add(n)

    def order(self, n):
        """A client asks a member for a change; the number of the order, or None when refused."""
        number = next(self.numbers)
        self.orders[number] = Order(n, self.history.newest())
        actions = self.nodes[n][0].read(self.now, number)
        if actions is None:
            del self.orders[number]
            return False
        self.act(n, actions)
        return True

    def mend(self):
        """Ends all troubles: links, disks, and machines that are down start again, but not those that were leaving."""
        self.heal()
        self.removed |= {n for n in self.off if self.nodes[n][0].planned_leave and n not in self.left}
        for n in self.nodes:
            if n in self.stalled:
                self.do("flow", n)
            if n in self.off and n not in self.removed and n not in self.left:
                self.do("boot", n)
        self.tell("heal", self.names[0])

    def here(self):
        """The machines that run and are not about to leave."""
        return [n for n in self.nodes if n not in self.off and self.nodes[n][0].planned_leave is None]

    # -- what must come back ---------------------------------------------------
    def until(self, ms, holds):
        """Runs until something holds; whether it did within the time."""
        for _ in range(ms // 50):
            if holds():
                return True
            self.run(50)
        return holds()

    def acknowledges(self, ms):
        """Whether a change is acknowledged within the time."""
        before = len(self.history.acknowledged)

        def acknowledged():
            return len(self.history.acknowledged) > before

        for _ in range(ms // 300):
            leader = self.leader()
            if leader is not None:
                self.order(leader)
            if self.until(300, acknowledged):
                return True
        return False

    def whole(self):
        """Whether all voters run and every holder has what is decided."""
        leader = self.leader()
        if leader is None or not self.nodes[leader][0].leadership.complete():
            return False
        view, here = self.view(), {self.members[n].id: n for n in self.here()}
        if not set(view.ids) <= set(here) or len(view.holders) < self.replicas + 1:
            return False
        decided = self.nodes[leader][0].decided.version
        return all(self.disks[here[i]][1].version >= decided for i in view.holders)

    def timeline(self):
        """What was done, as a timeline with a column per node."""
        names = list(self.nodes)
        width = max(len(word) for _, _, word in [(0, "", "stall"), *self.rows]) + 2
        lines = ["ms".ljust(8) + "".join(name.ljust(width) for name in names)]
        for ms, n, word in self.rows:
            lines.append(str(ms).ljust(8) + "".join((word if name == n else ".").ljust(width) for name in names))
        return "\n".join(line.rstrip() for line in lines)
