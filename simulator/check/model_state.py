"""Members with their disks, the messages on their way, and one client that compares and sets.

Each member has a clock of its own, so a member may be slow or quick beside the others.
"""

from datetime import timedelta

from attrs import define, evolve, field, frozen

from sparloom.consensus import (
    CONTROLLERS,
    SEEDS,
    Aborted,
    Committed,
    ConsensusMember,
    LeaveCompleted,
    Member,
    ReadConfirmed,
    Save,
    Send,
    founder_id,
)

from . import adapter, durable
from .copying import Interner, canonical, clone
from .history import History, Violation

STEP = timedelta(milliseconds=100)
NEWCOMERS = "xyzuvw"


@frozen
class Scope:
    """How large a world is, and how much of each trouble it may see."""

    members: str = "abc"
    replicas: int = 1
    machine: type = ConsensusMember
    writes: int = 3
    crashes: int = 2
    powers: int = 1
    joins: int = 1
    leaves: int = 1
    cuts: int = 1
    stalls: int = 1
    failed_saves: int = 1
    wipes: int = 2


@frozen
class Message:
    """A record on its way from one address to another."""

    source: str
    target: str
    record: object

    def key(self):
        """What tells it from others."""
        return canonical(self, timedelta(0))


@define(slots=True)
class Node:
    """A machine's process, its disk and the saves under way; ``ledger`` is None while it is down.

    ``gone``: it was lost for good. ``left``: its planned leave is complete; its old disk may still come back.
    """

    name: str
    member: Member
    luck: float
    ledger: object = None
    disk: tuple = None
    saves: list = field(factory=list)
    now: timedelta = timedelta(0)
    life: int = 0
    stalled: bool = False
    wiped: bool = False
    gone: bool = False
    leaving: bool = False
    left: bool = False
    elected: int = 0

    def key(self):
        """A hashable form of all that decides its future."""
        flags = (self.name, self.life, self.stalled, self.wiped, self.gone, self.leaving, self.left)
        return (*flags, *(canonical(v, self.now) for v in (self.member, self.ledger, self.disk, self.saves)))


@frozen
class Order:
    """A client's order: a confirmed read that began at ``floor``, then a write on what it showed."""

    node: str
    life: int
    floor: bytes
    writing: bytes = b""


def ask(method, *arguments):
    """Calls the machine; an exception out of it is a violation too.

    >>> ask({}.popitem)
    Traceback (most recent call last):
    ...
    simulator.check.history.Violation: the machine raises KeyError
    """
    try:
        return method(*arguments)
    except Exception as error:
        raise Violation(f"the machine raises {type(error).__name__}") from error


@define(slots=True)
class World:
    """One state of everything.

    >>> sorted(World.begin(Scope()).nodes)
    ['a', 'b', 'c']
    """

    scope: Scope
    nodes: dict = field(factory=dict)
    flight: list = field(factory=list)
    cuts: frozenset = frozenset()
    history: History = field(factory=History)
    orders: dict = field(factory=dict)
    used: dict = field(factory=dict)
    lost_disks: int = 0
    identities: int = 100
    next_order: int = 1
    owned: set = field(factory=set)
    keys: dict = field(factory=dict)
    trace: list = None

    @classmethod
    def begin(cls, scope):
        """All members of the first roster start on empty disks."""
        world = cls(scope)
        for name in scope.members:
            world.add(name)
        for name in scope.members:
            world.boot(name, first_start=True)
        return world

    # -- copies and keys ----------------------------------------------------
    def copy(self):
        """A copy that shares the members until one of the two changes them."""
        self.owned = set()
        return evolve(
            self,
            nodes=dict(self.nodes),
            flight=list(self.flight),
            orders=dict(self.orders),
            used=dict(self.used),
            owned=set(),
            keys=dict(self.keys),
            trace=None,
        )

    def own(self, name):
        """The member, copied first if another world shares it."""
        if name not in self.owned:
            node = self.nodes[name]
            self.nodes[name] = evolve(node, ledger=clone(node.ledger), saves=list(node.saves))
            self.owned.add(name)
        self.keys.pop(name, None)
        return self.nodes[name]

    def key(self, interner: Interner):
        """A short exact key: equal for worlds with the same future and the same past in the invariants' eyes."""
        for name, node in self.nodes.items():
            if name not in self.keys:
                self.keys[name] = interner.of(node.key())
        flight = tuple(sorted(interner.of(message.key()) for message in self.flight))
        rest = (self.cuts, self.history, tuple(self.orders.items()), tuple(sorted(self.used.items())), self.lost_disks)
        return (*(self.keys[name] for name in self.nodes), flight, interner.of(rest))

    # -- members --------------------------------------------------------------
    def add(self, name):
        """A machine with an empty disk, down as yet."""
        self.identities += 1
        luck = 0.1 + 0.13 * (len(self.nodes) % 7)
        self.nodes[name] = Node(name, Member(self.identities, name, 1, "z" + name, name + ":9"), luck)
        self.owned.add(name)

    def boot(self, name, first_start=False):
        """Starts a member with what its disk holds; an empty disk makes a new identity.

        A first member that ended before anything was on its disk is started for the first time again.
        """
        node = self.own(name)
        never_led = not self.history.primaries
        founder = name in self.scope.members and not node.wiped
        first_start = first_start or (node.disk is None and founder and never_led)
        genesis = {(n, 1) for n in self.scope.members}
        if node.disk is None and not first_start:
            self.identities += 1
            node.member = evolve(node.member, id=self.identities)
        elif node.disk is None and (name, 1) in genesis:
            node.member = evolve(node.member, id=founder_id(genesis, name, 1))
        node.life += 1
        node.leaving = node.left = False
        node.ledger = adapter.start(
            self.scope.machine, node.member, node.disk, first_start, node.luck, self.scope.replicas, genesis, node.now
        )
        self.act(node, adapter.first_actions(node.ledger, node.disk))

    def stop(self, name, finish_saves=False):
        """Ends a process; saves under way are lost, or all on disk."""
        node = self.own(name)
        for save in node.saves if finish_saves else ():
            node.disk = adapter.on_disk(save, node.disk)
        node.saves, node.ledger, node.stalled = [], None, False
        self.flight = [m for m in self.flight if m.target != name or not adapter.carries_data(m.record)]

    def wipe(self, name):
        """Ends a process and empties its disk; its identity is gone with it."""
        self.stop(name)
        node = self.nodes[name]
        node.disk, node.member, node.wiped = None, evolve(node.member, id=0), True

    def up(self):
        """The names of the members that run."""
        return [name for name, node in self.nodes.items() if node.ledger is not None]

    def primary(self):
        """The member that leads in the newest epoch, or None."""
        leading = [n for n in self.up() if self.nodes[n].ledger.leading()]
        return max(leading, key=lambda n: adapter.leading_view(self.nodes[n].ledger).epoch, default=None)

    def holder(self, identity):
        """The machine that has this identity now, or None."""
        return next((node for node in self.nodes.values() if node.member.id == identity and not node.gone), None)

    # -- events -----------------------------------------------------------------
    def deliver(self, message):
        """A record arrives."""
        if self.nodes[message.target].ledger is not None:
            node = self.own(message.target)
            self.act(node, ask(node.ledger.receive, node.now, message.record))

    def tick(self, name, span):
        """A member's own clock moves on."""
        node = self.own(name)
        node.now += span
        if node.ledger is not None:
            self.act(node, ask(node.ledger.tick, node.now))

    def saved(self, name):
        """The oldest save under way is on disk."""
        node = self.own(name)
        save = node.saves.pop(0)
        node.disk = adapter.on_disk(save, node.disk)
        self.act(node, ask(node.ledger.saved, node.now, save))

    def save_failed(self, name):
        """The oldest save under way is refused by the disk; it is tried again before those behind it."""
        node = self.own(name)
        self.act(node, ask(node.ledger.save_failed, node.now))

    def order(self, name):
        """A client asks a member for a change: a confirmed read first."""
        node = self.own(name)
        number, self.next_order = self.next_order, self.next_order + 2
        self.orders[number] = Order(name, node.life, self.history.newest())
        actions = ask(node.ledger.read, node.now, number)
        if actions is None:
            del self.orders[number]
        self.act(node, actions or [])

    def leave(self, name):
        """A member is asked to leave as planned."""
        node = self.own(name)
        node.leaving = True
        self.act(node, ask(node.ledger.leave, node.now))

    def act(self, node, actions):
        """Carries out a member's actions; what it sends to itself arrives at once."""
        todo = list(actions or ())
        while todo:
            action = todo.pop(0)
            if isinstance(action, Save):
                node.saves.append(action)
            elif isinstance(action, Send):
                todo += self._send(node, action)
            elif isinstance(action, Committed):
                self._decided(node, action)
            elif isinstance(action, ReadConfirmed):
                todo += self._confirmed(node, action) or []
            elif isinstance(action, Aborted):
                self.orders.pop(action.id, None)
            elif isinstance(action, LeaveCompleted):
                self.stop(node.name)
                node.left = True
                return
        elected = adapter.elected_view(node.ledger)
        if elected is not None and elected.epoch > node.elected:
            node.elected = elected.epoch
            self._on_majorities(
                elected, lambda register: register.promised_epoch, "promised the epoch of a new primary"
            )
        view = adapter.leading_view(node.ledger)
        if view is not None:
            self.history = self.history.leads(view.epoch, (node.name, node.life))

    def _send(self, node, action):
        """Puts a record on its way; gives the actions of one that goes to its sender."""
        durable.check(node.name, action.record, node.disk)
        if action.destination is CONTROLLERS:
            targets = [n for n in self.nodes if n != node.name]
        elif action.destination is SEEDS:
            targets = list(self.scope.members)
        else:
            targets = [action.destination.host]
        out = []
        for target in targets:
            if target == node.name:
                out += ask(node.ledger.receive, node.now, action.record) or []
            elif target in self.nodes and (node.name, target) not in self.cuts:
                self._post(Message(node.name, target, action.record))
        return out

    def _post(self, message):
        """One copy of equal messages is enough, and the newest heartbeat: the others count as lost."""
        beat = adapter.is_heartbeat(message.record)
        for other in self.flight:
            if (other.source, other.target) == (message.source, message.target):
                same = type(other.record) is type(message.record) if beat else other.record == message.record
                if same:
                    self.flight.remove(other)
                    break
        self.flight.append(message)

    # -- what the client sees ------------------------------------------------
    def _decided(self, node, action):
        view = adapter.leading_view(node.ledger)
        self._on_every_holder(view, action.data, "decided")
        if action.id == 0:
            self._on_majorities(view, lambda register: register.view_epoch, "marked the view that is served")
            self.history = self.history.new_primary(view.epoch, action.data.blob)
        elif action.id in self.orders:
            order = self.orders.pop(action.id)
            if order.writing != action.data.blob:
                raise Violation(f"{node.name} acknowledged {action.data.blob!r} for the order {order.writing!r}")
            self.history = self.history.acknowledge(view.epoch, action.data.blob)

    def _confirmed(self, node, action):
        order = self.orders.pop(action.id, None)
        if order is None:
            return []
        data = action.data
        self.history = self.history.show(order.floor, data.blob)
        self._on_every_holder(adapter.leading_view(node.ledger), data, "shown by a confirmed read")
        blob = data.blob + b"%d." % action.id
        actions = ask(node.ledger.write, node.now, action.id + 1, data.revision + 1, blob)
        if actions is not None:
            self.orders[action.id + 1] = evolve(order, writing=blob)
        return actions

    def _on_every_holder(self, view, data, what):
        """What a client may rely on is on the disk of every holder that still has its disk."""
        if view is None:
            raise Violation(f"a state was {what} by a member that does not lead")
        for identity in view.holders:
            holder = self.holder(identity)
            if holder is None:
                continue
            if holder.disk is None or holder.disk[1].version < data.version:
                raise Violation(f"state {data.blob.decode()!r} was {what}, but it is not on the disk of {holder.name}")

    def _on_majorities(self, view, epoch_of, what):
        """A majority of each roster has something on disk; those lost since may have had it."""
        for roster in view.rosters:
            voters = [self.holder(identity) for identity in roster]
            done = sum(node is None or bool(node.disk) and epoch_of(node.disk[0]) >= view.epoch for node in voters)
            if 2 * done <= len(roster):
                raise Violation(f"only {done} of {len(roster)} voters have {what}")
