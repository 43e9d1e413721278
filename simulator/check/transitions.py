"""Transitions of the model: the next one of the fair schedule, and all deviations from it."""

from datetime import timedelta

from attrs import frozen

from . import adapter
from .model_state import NEWCOMERS, STEP, Message

# A fair run ends after this many transitions, plus 100 for each ms of its duration, even if time does not advance.
MAXIMUM_TRANSITIONS = 500


@frozen
class Deliver:
    """A message arrives, possibly out of order; with ``again``, a duplicate stays in flight."""

    message: Message
    again: bool = False

    def play(self, state):
        """Apply the transition to a state."""
        if not self.again:
            state.flight.remove(self.message)
        state.deliver(self.message)

    def cells(self):
        """Return the cells of the transition in a timeline, by node."""
        label = "twice" if self.again else "got"
        return {self.message.target: f"{label}:{type(self.message.record).__name__}/{self.message.source}"}


@frozen
class Drop:
    """A message is lost."""

    message: Message

    def play(self, state):
        """Apply the transition to a state."""
        state.flight.remove(self.message)

    def cells(self):
        """Return the cells of the transition in a timeline, by node."""
        return {self.message.target: f"lost:{type(self.message.record).__name__}/{self.message.source}"}


@frozen
class Pass:
    """The clocks of all running members advance by one step."""

    def play(self, state):
        """Apply the transition to a state."""
        for name in state.up():
            state.tick(name, STEP)

    def cells(self):
        """Return the cells of the transition in a timeline, by node."""
        return {}


@frozen
class At:
    """An event at one member; ``what`` is its name, as timelines show it."""

    what: str
    node: str

    def play(self, state):
        """Apply the transition to a state."""
        _EVENTS[self.what](state, self.node)
        if self.what in _BUDGETS:
            state.used[_BUDGETS[self.what]] = state.used.get(_BUDGETS[self.what], 0) + 1

    def cells(self):
        """Return the cells of the transition in a timeline, by node."""
        return {self.node: self.what}


@frozen
class Power:
    """All running members lose power at once, lose their pending saves, and restart."""

    def play(self, state):
        """Apply the transition to a state."""
        state.used["powers"] = state.used.get("powers", 0) + 1
        names = state.up()
        for name in names:
            state.stop(name)
        state.flight, state.orders = [], {}
        for name in names:
            state.boot(name)

    def cells(self):
        """Return the cells of the transition in a timeline, by node."""
        return {"all": "kill+boot"}


def _cut_links(state, links):
    """Cut (source, target) links; the messages in flight on them are lost."""
    state.cuts |= set(links)
    state.flight = [message for message in state.flight if (message.source, message.target) not in state.cuts]


def separate(state, group):
    """Partition some members from all others, in both directions."""
    others = [name for name in state.nodes if name not in group]
    _cut_links(state, [link for member in group for other in others for link in ((member, other), (other, member))])


def _isolate(state, name, outwards=True, inwards=True):
    """Isolate one member from all others, in one direction or both."""
    others = [other for other in state.nodes if other != name]
    outgoing = [(name, other) for other in others] if outwards else []
    incoming = [(other, name) for other in others] if inwards else []
    _cut_links(state, outgoing + incoming)


def _partition(state, name):
    """Partition the members into halves: this one with the next ones in order (wrapping around), and the others."""
    names = list(state.nodes)
    start = names.index(name)
    separate(state, {names[(start + offset) % len(names)] for offset in range(len(names) // 2)})


def _wipe(state, name):
    if fully_repaired(state):
        state.lost_disks = 0
    state.lost_disks += 1
    state.wipe(name)


def _remove(state, name):
    _wipe(state, name)
    state.nodes[name].removed = True


def _join(state, name):
    state.add(name)
    state.boot(name)


def _set_stalled(state, name, stalled):
    state.own(name).stalled = stalled


_EVENTS = {
    "saved": lambda state, name: state.saved(name),
    "save-failed": lambda state, name: state.save_failed(name),
    "timeout": lambda state, name: state.tick(name, adapter.TIMING.election_timeout * 1.1),
    "dead-timeout": lambda state, name: state.tick(name, adapter.TIMING.removal_timeout * 1.1),
    "kill": lambda state, name: state.stop(name),
    "kill-saved": lambda state, name: state.stop(name, finish_saves=True),
    "boot": lambda state, name: state.boot(name),
    "wipe": _wipe,
    "remove": _remove,
    "join": _join,
    "leave": lambda state, name: state.leave(name),
    "write": lambda state, name: state.order(name),
    "cut": lambda state, name: _isolate(state, name),
    "cut-in": lambda state, name: _isolate(state, name, outwards=False),
    "cut-out": lambda state, name: _isolate(state, name, inwards=False),
    "split": _partition,
    "heal": lambda state, name: setattr(state, "cuts", frozenset()),
    "stall": lambda state, name: _set_stalled(state, name, True),
    "flow": lambda state, name: _set_stalled(state, name, False),
}
_BUDGETS = {
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


def fully_repaired(state):
    """Whether repair is complete: all members of a full roster run, and all holders have the committed data on disk."""
    name = state.primary()
    if name is None:
        return False
    view = adapter.leading_view(state.nodes[name].ledger)
    members = [state.holder(identity) for identity in view.ids]
    if any(node is None or node.ledger is None or node.leaving for node in members):
        return False
    if len(view.ids) < 2 * state.scope.replicas + 1:
        return False
    if len(view.holders) < state.scope.replicas + 1 or not adapter.settled(state.nodes[name].ledger):
        return False
    decided = state.nodes[name].ledger.committed_data.version
    return all(
        state.holder(identity).disk[1].version >= decided for identity in view.holders if state.holder(identity).disk
    )


def disks_lost(state):
    """Return the number of lost disks that are not repaired yet.

    A founder that stopped before its first save counts as lost. So does a machine that completed its planned leave,
    until the repair without it is complete.
    """
    if fully_repaired(state):
        return 0
    founders = (state.nodes[name] for name in state.scope.members)
    unsaved = sum(node.ledger is None and node.disk is None and not node.wiped for node in founders)
    return state.lost_disks + unsaved + sum(node.left for node in state.nodes.values())


def fair(state):
    """Return the next transition of the fair schedule: messages in order, then saves, then time."""
    if state.flight:
        return Deliver(state.flight[0])
    for name, node in state.nodes.items():
        if node.saves and not node.stalled:
            return At("saved", name)
    return Pass()


def run_fairly(state, duration_ms, until=None):
    """Play the fair schedule for some ms of simulated time, or until ``until(state)`` holds; return whether it held.

    >>> from .model_state import Scope, ModelState
    >>> run_fairly(ModelState.begin(Scope()), 3000, until=lambda state: state.primary() is not None)
    True
    """
    elapsed = timedelta(0)
    for _ in range(MAXIMUM_TRANSITIONS + 100 * duration_ms):
        if until is not None and until(state):
            return True
        transition = fair(state)
        if isinstance(transition, Pass):
            if elapsed >= timedelta(milliseconds=duration_ms):
                break
            elapsed += STEP
        transition.play(state)
    return False


def deviations(state):
    """Return all other transitions within the scope's limits, in a fixed order."""
    return [
        *_message_transitions(state),
        *_time_transitions(state),
        *_node_transitions(state),
        *_fleet_transitions(state),
    ]


def _message_transitions(state):
    for index, message in enumerate(state.flight):
        if index:
            yield Deliver(message)
        yield Deliver(message, again=True)
        yield Drop(message)


def _time_transitions(state):
    if state.flight or any(node.saves for node in state.nodes.values()):
        yield Pass()
    for name in state.up():
        yield At("timeout", name)
        yield At("dead-timeout", name)


def _within_budget(state, budget):
    return state.used.get(budget, 0) < getattr(state.scope, budget)


def _node_transitions(state):
    for name, node in state.nodes.items():
        if node.removed:
            continue
        if node.ledger is None:
            yield At("boot", name)
        else:
            yield from _running_transitions(state, name, node)
        if _within_budget(state, "wipes") and node.disk and disks_lost(state) < state.scope.replicas:
            yield At("wipe", name)
            yield At("remove", name)


def _running_transitions(state, name, node):
    if node.saves:
        if state.flight and not node.stalled:
            yield At("saved", name)
        if _within_budget(state, "failed_saves"):
            yield At("save-failed", name)
    if _within_budget(state, "crashes"):
        yield At("kill", name)
        if node.saves:
            yield At("kill-saved", name)
    if node.ledger.leading() and _within_budget(state, "writes"):
        yield At("write", name)
    if node.stalled:
        yield At("flow", name)
    elif _within_budget(state, "stalls"):
        yield At("stall", name)
    if (
        _within_budget(state, "leaves")
        and state.history.primaries
        and not node.leaving
        and len(state.up()) > len(state.scope.members)
    ):
        yield At("leave", name)
    if not state.cuts and _within_budget(state, "cuts"):
        yield from (At(direction, name) for direction in ("cut", "cut-in", "cut-out"))
        if len(state.nodes) > 3:
            yield At("split", name)


def _fleet_transitions(state):
    if state.cuts:
        yield At("heal", next(iter(state.nodes)))
    if _within_budget(state, "powers"):
        yield Power()
    if _within_budget(state, "joins"):
        yield At("join", next(name for name in NEWCOMERS if name not in state.nodes))
