"""What may happen next in a model state: one transition of the fair schedule, and the deviations from it."""

from datetime import timedelta

from attrs import frozen

from . import adapter
from .model_state import NEWCOMERS, STEP, Message

# A schedule without progress in time ends after this many transitions, and 100 more for each ms that it may take.
MAXIMUM_TRANSITIONS = 500


@frozen
class Deliver:
    """A message arrives, perhaps out of order; ``again`` leaves a copy on its way."""

    message: Message
    again: bool = False

    def play(self, world):
        """Carries it out."""
        if not self.again:
            world.flight.remove(self.message)
        world.deliver(self.message)

    def cells(self):
        """Where and how a timeline shows it."""
        word = "twice" if self.again else "got"
        return {self.message.target: f"{word}:{type(self.message.record).__name__}/{self.message.source}"}


@frozen
class Drop:
    """A message is lost."""

    message: Message

    def play(self, world):
        """Carries it out."""
        world.flight.remove(self.message)

    def cells(self):
        """Where and how a timeline shows it."""
        return {self.message.target: f"lost:{type(self.message.record).__name__}/{self.message.source}"}


@frozen
class Pass:
    """Time passes at all members alike."""

    def play(self, world):
        """Carries it out."""
        for name in world.up():
            world.tick(name, STEP)

    def cells(self):
        """Where and how a timeline shows it."""
        return {}


@frozen
class At:
    """Something happens at one member; ``what`` is a word of the timelines where they have one."""

    what: str
    node: str

    def play(self, world):
        """Carries it out."""
        _EVENTS[self.what](world, self.node)
        if self.what in _COUNTED:
            world.used[_COUNTED[self.what]] = world.used.get(_COUNTED[self.what], 0) + 1

    def cells(self):
        """Where and how a timeline shows it."""
        return {self.node: self.what}


@frozen
class Power:
    """All lose power at once, saves under way are lost, and all start again."""

    def play(self, world):
        """Carries it out."""
        world.used["powers"] = world.used.get("powers", 0) + 1
        names = world.up()
        for name in names:
            world.stop(name)
        world.flight, world.orders = [], {}
        for name in names:
            world.boot(name)

    def cells(self):
        """Where and how a timeline shows it."""
        return {"all": "kill+boot"}


def _cut_links(world, links):
    """Cuts (source, target) links; the messages on them are lost."""
    world.cuts |= set(links)
    world.flight = [message for message in world.flight if (message.source, message.target) not in world.cuts]


def separate(world, half):
    """Cuts some members off from all others, both ways."""
    rest = [name for name in world.nodes if name not in half]
    _cut_links(world, [link for one in half for other in rest for link in ((one, other), (other, one))])


def _isolate(world, name, outwards=True, inwards=True):
    """Cuts one member off from all others, in one direction or both."""
    others = [other for other in world.nodes if other != name]
    outgoing = [(name, other) for other in others] if outwards else []
    incoming = [(other, name) for other in others] if inwards else []
    _cut_links(world, outgoing + incoming)


def _partition(world, name):
    """Parts the members into halves: this one and those behind it in order, and the rest."""
    names = list(world.nodes)
    start = names.index(name)
    separate(world, {names[(start + offset) % len(names)] for offset in range(len(names) // 2)})


def _wipe(world, name):
    if whole(world):
        world.lost_disks = 0
    world.lost_disks += 1
    world.wipe(name)


def _remove(world, name):
    _wipe(world, name)
    world.nodes[name].gone = True


def _join(world, name):
    world.add(name)
    world.boot(name)


def _set_stalled(world, name, stalled):
    world.own(name).stalled = stalled


_EVENTS = {
    "saved": lambda world, name: world.saved(name),
    "save-failed": lambda world, name: world.save_failed(name),
    "timeout": lambda world, name: world.tick(name, adapter.SPANS.election_timeout * 1.1),
    "dead-timeout": lambda world, name: world.tick(name, adapter.SPANS.removal_timeout * 1.1),
    "kill": lambda world, name: world.stop(name),
    "kill-saved": lambda world, name: world.stop(name, finish_saves=True),
    "boot": lambda world, name: world.boot(name),
    "wipe": _wipe,
    "remove": _remove,
    "join": _join,
    "leave": lambda world, name: world.leave(name),
    "write": lambda world, name: world.order(name),
    "cut": lambda world, name: _isolate(world, name),
    "cut-in": lambda world, name: _isolate(world, name, outwards=False),
    "cut-out": lambda world, name: _isolate(world, name, inwards=False),
    "split": _partition,
    "heal": lambda world, name: setattr(world, "cuts", frozenset()),
    "stall": lambda world, name: _set_stalled(world, name, True),
    "flow": lambda world, name: _set_stalled(world, name, False),
}
_COUNTED = {
    "save-failed": "failed_saves",
    "kill": "crashes",
    "kill-saved": "crashes",
    "wipe": "wipes",
    "remove": "wipes",
    "join": "joins",
    "leave": "leaves",
    "write": "writes",
    "cut": "cuts",
    "cut-in": "cuts",
    "cut-out": "cuts",
    "split": "cuts",
    "stall": "stalls",
}


def whole(world):
    """Whether all that repairs can do is done: all of the roster is there, and all holders have what is decided."""
    name = world.primary()
    if name is None:
        return False
    view = adapter.leading_view(world.nodes[name].ledger)
    here = [world.holder(identity) for identity in view.ids]
    if any(node is None or node.ledger is None or node.leaving for node in here):
        return False
    if len(view.ids) < 2 * world.scope.replicas + 1:
        return False
    if len(view.holders) < world.scope.replicas + 1 or not adapter.settled(world.nodes[name].ledger):
        return False
    decided = world.nodes[name].ledger.committed_data.version
    return all(world.holder(i).disk[1].version >= decided for i in view.holders if world.holder(i).disk)


def disks_lost(world):
    """How many disks are lost that no repair has made good yet.

    A machine that ended before its first save is as good as lost, and so is
    one that has left as planned until all is whole without it.
    """
    if whole(world):
        return 0
    founders = (world.nodes[name] for name in world.scope.members)
    unsaved = sum(node.ledger is None and node.disk is None and not node.wiped for node in founders)
    return world.lost_disks + unsaved + sum(node.left for node in world.nodes.values())


def fair(world):
    """The move of the fair schedule: messages in order, then saves, then time."""
    if world.flight:
        return Deliver(world.flight[0])
    for name, node in world.nodes.items():
        if node.saves and not node.stalled:
            return At("saved", name)
    return Pass()


def run_fairly(world, duration_ms, until=None):
    """Plays the fair schedule for some ms of simulated time, or until ``until(world)`` holds; tells whether it did.

    >>> from .model_state import Scope, World
    >>> run_fairly(World.begin(Scope()), 3000, until=lambda world: world.primary() is not None)
    True
    """
    passed = timedelta(0)
    for _ in range(MAXIMUM_TRANSITIONS + 100 * duration_ms):
        if until is not None and until(world):
            return True
        transition = fair(world)
        if isinstance(transition, Pass):
            if passed >= timedelta(milliseconds=duration_ms):
                break
            passed += STEP
        transition.play(world)
    return False


def deviations(world):
    """All other moves within the scope's limits, in a fixed order."""
    return [*_message_moves(world), *_time_moves(world), *_node_moves(world), *_whole_moves(world)]


def _message_moves(world):
    for index, message in enumerate(world.flight):
        if index:
            yield Deliver(message)
        yield Deliver(message, again=True)
        yield Drop(message)


def _time_moves(world):
    if world.flight or any(node.saves for node in world.nodes.values()):
        yield Pass()
    for name in world.up():
        yield At("timeout", name)
        yield At("dead-timeout", name)


def _may(world, budget):
    return world.used.get(budget, 0) < getattr(world.scope, budget)


def _node_moves(world):
    for name, node in world.nodes.items():
        if node.gone:
            continue
        if node.ledger is None:
            yield At("boot", name)
        else:
            yield from _running_moves(world, name, node)
        if _may(world, "wipes") and node.disk and disks_lost(world) < world.scope.replicas:
            yield At("wipe", name)
            yield At("remove", name)


def _running_moves(world, name, node):
    if node.saves:
        if world.flight and not node.stalled:
            yield At("saved", name)
        if _may(world, "failed_saves"):
            yield At("save-failed", name)
    if _may(world, "crashes"):
        yield At("kill", name)
        if node.saves:
            yield At("kill-saved", name)
    if node.ledger.leading() and _may(world, "writes"):
        yield At("write", name)
    if node.stalled:
        yield At("flow", name)
    elif _may(world, "stalls"):
        yield At("stall", name)
    if (
        _may(world, "leaves")
        and world.history.primaries
        and not node.leaving
        and len(world.up()) > len(world.scope.members)
    ):
        yield At("leave", name)
    if not world.cuts and _may(world, "cuts"):
        yield from (At(way, name) for way in ("cut", "cut-in", "cut-out"))
        if len(world.nodes) > 3:
            yield At("split", name)


def _whole_moves(world):
    if world.cuts:
        yield At("heal", next(iter(world.nodes)))
    if _may(world, "powers"):
        yield Power()
    if _may(world, "joins"):
        yield At("join", next(name for name in NEWCOMERS if name not in world.nodes))
