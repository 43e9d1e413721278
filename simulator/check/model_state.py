"""The state of the model: members with their disks, messages in flight, and one client with compare-and-set writes.

Each member has its own clock, so clocks may run at different speeds.
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
    """Size of a model, and the maximum number of events of each kind."""

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
    """A record in flight from one address to another."""

    source: str
    target: str
    record: object

    def key(self):
        """Return a hashable form that identifies the message."""
        return canonical(self, timedelta(0))


@define(slots=True)
class Node:
    """A machine with its process, its disk and the pending saves; ``ledger`` is None while the process is down.

    ``removed``: the machine was lost for good. ``left``: its planned leave is complete, but it may still restart with
    its old disk.
    """

    name: str
    member: Member
    random_value: float
    ledger: object = None
    disk: tuple = None
    saves: list = field(factory=list)
    now: timedelta = timedelta(0)
    incarnation: int = 0
    stalled: bool = False
    wiped: bool = False
    removed: bool = False
    leaving: bool = False
    left: bool = False
    elected: int = 0

    def key(self):
        """Return a hashable form of everything that affects the node's future."""
        flags = (self.name, self.incarnation, self.stalled, self.wiped, self.removed, self.leaving, self.left)
        return (*flags, *(canonical(value, self.now) for value in (self.member, self.ledger, self.disk, self.saves)))


@frozen
class Order:
    """A client's change: a confirmed read, then a write on top of its result.

    ``floor`` is the newest acknowledged or read state when the read began.
    """

    node: str
    incarnation: int
    floor: bytes
    writing: bytes = b""


def call_machine(method, *arguments):
    """Call the state machine; an exception that it raises is a violation.

    >>> call_machine({}.popitem)
    Traceback (most recent call last):
    ...
    simulator.check.history.Violation: the state machine raised KeyError
    """
    try:
        return method(*arguments)
    except Exception as error:
        raise Violation(f"the state machine raised {type(error).__name__}") from error


@define(slots=True)
class ModelState:
    """One state of the whole model.

    >>> sorted(ModelState.begin(Scope()).nodes)
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
        """Return the state in which all members of the first roster have started with empty disks."""
        state = cls(scope)
        for name in scope.members:
            state.add(name)
        for name in scope.members:
            state.boot(name, first_start=True)
        return state

    # -- copies and keys ----------------------------------------------------
    def copy(self):
        """Return a copy; members are shared until either state changes them (copy on write)."""
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
        """Return a member for modification; it is copied first if another state shares it."""
        if name not in self.owned:
            node = self.nodes[name]
            self.nodes[name] = evolve(node, ledger=clone(node.ledger), saves=list(node.saves))
            self.owned.add(name)
        self.keys.pop(name, None)
        return self.nodes[name]

    def key(self, interner: Interner):
        """Return a short key; states with the same key have the same future and the same checked history."""
        for name, node in self.nodes.items():
            if name not in self.keys:
                self.keys[name] = interner.of(node.key())
        flight = tuple(sorted(interner.of(message.key()) for message in self.flight))
        rest = (self.cuts, self.history, tuple(self.orders.items()), tuple(sorted(self.used.items())), self.lost_disks)
        return (*(self.keys[name] for name in self.nodes), flight, interner.of(rest))

    # -- members --------------------------------------------------------------
    def add(self, name):
        """Add a machine with an empty disk; it is not started."""
        self.identities += 1
        random_value = 0.1 + 0.13 * (len(self.nodes) % 7)
        self.nodes[name] = Node(name, Member(self.identities, name, 1, "z" + name, name + ":9"), random_value)
        self.owned.add(name)

    def boot(self, name, first_start=False):
        """Start a member from its disk; an empty disk gives it a new identity.

        A founder that stopped before its first save repeats its first start, as long as no member has led.
        """
        node = self.own(name)
        never_led = not self.history.primaries
        founder = name in self.scope.members and not node.wiped
        first_start = first_start or (node.disk is None and founder and never_led)
        genesis = {(name, 1) for name in self.scope.members}
        if node.disk is None and not first_start:
            self.identities += 1
            node.member = evolve(node.member, id=self.identities)
        elif node.disk is None and (name, 1) in genesis:
            node.member = evolve(node.member, id=founder_id(genesis, name, 1))
        node.incarnation += 1
        node.leaving = node.left = False
        node.ledger = adapter.start(
            self.scope.machine,
            node.member,
            node.disk,
            first_start,
            node.random_value,
            self.scope.replicas,
            genesis,
            node.now,
        )
        self.act(node, adapter.first_actions(node.ledger, node.disk))

    def stop(self, name, finish_saves=False):
        """Stop a process; its pending saves are lost, or all complete with ``finish_saves``."""
        node = self.own(name)
        for save in node.saves if finish_saves else ():
            node.disk = adapter.on_disk(save, node.disk)
        node.saves, node.ledger, node.stalled = [], None, False
        self.flight = [
            message for message in self.flight if message.target != name or not adapter.carries_data(message.record)
        ]

    def wipe(self, name):
        """Stop a process and erase its disk, and with it the identity of the member."""
        self.stop(name)
        node = self.nodes[name]
        node.disk, node.member, node.wiped = None, evolve(node.member, id=0), True

    def up(self):
        """Return the names of the running members."""
        return [name for name, node in self.nodes.items() if node.ledger is not None]

    def primary(self):
        """Return the name of the member that leads in the newest epoch, or None."""
        leading = [name for name in self.up() if self.nodes[name].ledger.leading()]
        return max(leading, key=lambda name: adapter.leading_view(self.nodes[name].ledger).epoch, default=None)

    def holder(self, identity):
        """Return the machine with this identity, or None."""
        return next((node for node in self.nodes.values() if node.member.id == identity and not node.removed), None)

    # -- events -----------------------------------------------------------------
    def deliver(self, message):
        """Deliver a message; it is lost if its receiver is down."""
        if self.nodes[message.target].ledger is not None:
            node = self.own(message.target)
            self.act(node, call_machine(node.ledger.receive, node.now, message.record))

    def tick(self, name, duration):
        """Advance a member's own clock."""
        node = self.own(name)
        node.now += duration
        if node.ledger is not None:
            self.act(node, call_machine(node.ledger.tick, node.now))

    def saved(self, name):
        """Complete the oldest pending save of a member."""
        node = self.own(name)
        save = node.saves.pop(0)
        node.disk = adapter.on_disk(save, node.disk)
        self.act(node, call_machine(node.ledger.saved, node.now, save))

    def save_failed(self, name):
        """Let the oldest pending save fail; it is retried before the later ones."""
        node = self.own(name)
        self.act(node, call_machine(node.ledger.save_failed, node.now))

    def order(self, name):
        """Start a client's change at a member, with a confirmed read."""
        node = self.own(name)
        number, self.next_order = self.next_order, self.next_order + 2
        self.orders[number] = Order(name, node.incarnation, self.history.newest())
        actions = call_machine(node.ledger.read, node.now, number)
        if actions is None:
            del self.orders[number]
        self.act(node, actions or [])

    def leave(self, name):
        """Request the planned leave of a member."""
        node = self.own(name)
        node.leaving = True
        self.act(node, call_machine(node.ledger.leave, node.now))

    def act(self, node, actions):
        """Execute a member's actions; records to itself are delivered at once."""
        pending = list(actions or ())
        while pending:
            action = pending.pop(0)
            if isinstance(action, Save):
                node.saves.append(action)
            elif isinstance(action, Send):
                pending += self._send(node, action)
            elif isinstance(action, Committed):
                self._on_committed(node, action)
            elif isinstance(action, ReadConfirmed):
                pending += self._on_read_confirmed(node, action) or []
            elif isinstance(action, Aborted):
                self.orders.pop(action.id, None)
            elif isinstance(action, LeaveCompleted):
                self.stop(node.name)
                node.left = True
                return
        elected = adapter.elected_view(node.ledger)
        if elected is not None and elected.epoch > node.elected:
            node.elected = elected.epoch
            self._check_on_majorities(
                elected, lambda register: register.promised_epoch, "promised the epoch of a new primary"
            )
        view = adapter.leading_view(node.ledger)
        if view is not None:
            self.history = self.history.leads(view.epoch, (node.name, node.incarnation))

    def _send(self, node, action):
        """Send a record; return the actions that its delivery to the sender itself causes."""
        durable.check(node.name, action.record, node.disk)
        if action.destination is CONTROLLERS:
            targets = [name for name in self.nodes if name != node.name]
        elif action.destination is SEEDS:
            targets = list(self.scope.members)
        else:
            targets = [action.destination.host]
        local_actions = []
        for target in targets:
            if target == node.name:
                local_actions += call_machine(node.ledger.receive, node.now, action.record) or []
            elif target in self.nodes and (node.name, target) not in self.cuts:
                self._enqueue(Message(node.name, target, action.record))
        return local_actions

    def _enqueue(self, message):
        """Put a message in flight; an equal one or an older heartbeat on its link is replaced and counts as lost."""
        is_heartbeat = adapter.is_heartbeat(message.record)
        for other in self.flight:
            if (other.source, other.target) == (message.source, message.target):
                replaced = (
                    type(other.record) is type(message.record) if is_heartbeat else other.record == message.record
                )
                if replaced:
                    self.flight.remove(other)
                    break
        self.flight.append(message)

    # -- results for the client ----------------------------------------------
    def _on_committed(self, node, action):
        view = adapter.leading_view(node.ledger)
        self._check_on_every_holder(view, action.data, "decided")
        if action.id == 0:
            self._check_on_majorities(view, lambda register: register.view_epoch, "activated the view that is served")
            self.history = self.history.new_primary(view.epoch, action.data.blob)
        elif action.id in self.orders:
            order = self.orders.pop(action.id)
            if order.writing != action.data.blob:
                raise Violation(f"{node.name} acknowledged {action.data.blob!r} for the write {order.writing!r}")
            self.history = self.history.acknowledge(view.epoch, action.data.blob)

    def _on_read_confirmed(self, node, action):
        order = self.orders.pop(action.id, None)
        if order is None:
            return []
        data = action.data
        self.history = self.history.show(order.floor, data.blob)
        self._check_on_every_holder(adapter.leading_view(node.ledger), data, "returned by a confirmed read")
        blob = data.blob + b"%d." % action.id
        actions = call_machine(node.ledger.write, node.now, action.id + 1, data.revision + 1, blob)
        if actions is not None:
            self.orders[action.id + 1] = evolve(order, writing=blob)
        return actions

    def _check_on_every_holder(self, view, data, description):
        """Check that a state confirmed to a client is on the disk of every holder that still has its disk."""
        if view is None:
            raise Violation(f"a state was {description} by a member that does not lead")
        for identity in view.holders:
            holder = self.holder(identity)
            if holder is None:
                continue
            if holder.disk is None or holder.disk[1].version < data.version:
                raise Violation(
                    f"state {data.blob.decode()!r} was {description}, but it is not on the disk of {holder.name}"
                )

    def _check_on_majorities(self, view, epoch_of, description):
        """Check that a majority of each roster has an epoch on disk; members lost since then count as having it."""
        for roster in view.rosters:
            voters = [self.holder(identity) for identity in roster]
            stored = sum(node is None or bool(node.disk) and epoch_of(node.disk[0]) >= view.epoch for node in voters)
            if 2 * stored <= len(roster):
                raise Violation(f"only {stored} of {len(roster)} voters have {description}")
