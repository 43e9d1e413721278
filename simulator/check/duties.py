"""A model of the duties: every order of events of two holders and a platform, within a depth.

The state machine is the programs' own (``sparloom.duties``). Around it stand
an agreed store (one node leads; only the leader commits), nodes that go on
believing that they lead, calls that are carried out at any later moment, and a
clock that moves by parts of the lease. A node sends only what a majority has
confirmed; one that stands still between that and the call is, to the platform,
a call that is carried out late, so both are one move here. Likewise a node
claims as it wins: a claim that comes later only waits longer.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from sparloom.duties import DecidedWindow, DutyState, DutyUpdate, ScaleOrder
from sparloom.duties.lease import earliest_action

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASE = timedelta(seconds=3)
WAIT = timedelta(milliseconds=3300)
STEP = timedelta(milliseconds=1100)
FIRST_WINDOW = 7
NODES = ("a", "b")


class DutyViolationError(Exception):
    """An invariant does not hold."""


@frozen
class Call:
    """A call on its way."""

    duty: str
    subject: str
    holder: str
    fence: int
    content: object


@frozen
class DutyNode:
    """What a node knows: the fence of its claim, and from when on it may act; None after a restart."""

    name: str
    fence: int = 0
    acts_from: timedelta | None = None


@frozen
class Sent:
    """A call that was sent."""

    at: timedelta
    holder: str


@frozen
class DutyWorld:
    """One state of everything; all of it is immutable.

    Attributes
    ----------
    committed, leader
        The agreed state of the duties, and the node that may commit.
    nodes
        The nodes.
    flight
        Calls on their way.
    highest
        The highest fence that the platform has seen, by duty and subject.
    contents
        What was accepted under a window, or sent under a fence.
    recent
        The calls that were sent within the last lease, oldest first.
    elections
        How often the lead has changed.
    """

    committed: DutyState = DutyState()
    leader: str = NODES[0]
    nodes: tuple[DutyNode, ...] = tuple(map(DutyNode, NODES))
    flight: frozenset[Call] = frozenset()
    highest: tuple[tuple[str, int], ...] = ()
    contents: frozenset[tuple[object, ...]] = frozenset()
    recent: tuple[Sent, ...] = ()
    now: timedelta = timedelta(0)
    elections: int = 0
    decisions: int = 0

    def node(self, name: str) -> DutyNode:
        """The node of a name."""
        return next(node for node in self.nodes if node.name == name)

    def with_node(self, changed: DutyNode) -> DutyWorld:
        """The world with one node changed."""
        return evolve(self, nodes=tuple(changed if node.name == changed.name else node for node in self.nodes))

    def key(self) -> tuple[object, ...]:
        """Equal for worlds with the same future: times count from now."""
        nodes = tuple(
            (node.name, node.fence, node.acts_from and max(node.acts_from - self.now, timedelta(0)))
            for node in self.nodes
        )
        recent = tuple((self.now - call.at, call.holder) for call in self.recent)
        rest = (self.flight, self.highest, self.contents, self.elections, self.decisions)
        return (self.committed, self.leader, nodes, recent, *rest)


# -- moves -----------------------------------------------------------------------
def moves(world: DutyWorld, maximum_elections: int) -> Iterator[tuple[str, DutyWorld]]:
    """All that may happen next, each with its name."""
    yield "time passes", _pass(world)
    if world.elections < maximum_elections:
        for name in NODES:
            yield f"{name} wins", _elect(world, name)
    for node in world.nodes:
        yield from _node_moves(world, node)
    for call in world.flight:
        yield f"platform carries out {call.duty} {call.fence}", _carry_out(world, call)


def _pass(world: DutyWorld) -> DutyWorld:
    now = world.now + STEP
    return evolve(world, now=now, recent=tuple(call for call in world.recent if now - call.at < LEASE))


def _elect(world: DutyWorld, name: str) -> DutyWorld:
    """A node wins an election and commits its claim. The other one may not know."""
    node = world.node(name)
    committed = DutyUpdate(name, claim=True, first_window=FIRST_WINDOW).apply(world.committed)
    assert committed is not None, "a claim follows on any state"
    acts_from = earliest_action(name, committed.previous_holder, node.acts_from, world.now, WAIT)
    claimed = DutyNode(name, committed.usage_fence, acts_from)
    return evolve(world.with_node(claimed), committed=committed, leader=name, elections=world.elections + 1)


def _node_moves(world: DutyWorld, node: DutyNode) -> Iterator[tuple[str, DutyWorld]]:
    if world.leader != node.name:
        return
    if world.committed.usage_fence == node.fence:
        yield f"{node.name} decides a window", _decide(world, node)
        yield f"{node.name} orders", _order(world, node)
    if node.acts_from is not None and world.now >= node.acts_from:
        yield from _sends(world, node)
    yield f"{node.name} restarts", world.with_node(DutyNode(node.name))


def _update(world: DutyWorld, node: DutyNode, **fields: object) -> DutyWorld:
    update = DutyUpdate(node.name, usage_fence=node.fence, **fields)  # type: ignore[arg-type]
    committed = update.apply(world.committed)
    return evolve(world, committed=committed or world.committed, decisions=world.decisions + 1)


def _decide(world: DutyWorld, node: DutyNode) -> DutyWorld:
    """Each decision has counts of its own: no two that are made apart are alike."""
    counts = {"t": world.decisions}
    return _update(world, node, windows=(DecidedWindow(world.committed.next_window, _Counts(counts)),))


def _order(world: DutyWorld, node: DutyNode) -> DutyWorld:
    return _update(world, node, orders=(ScaleOrder("s", "z", world.decisions + 1),))


class _Counts(dict):  # type: ignore[type-arg]
    """Counts that can be part of a key."""

    def __hash__(self) -> int:  # type: ignore[override]
        return hash(tuple(sorted(self.items())))


def _sends(world: DutyWorld, node: DutyNode) -> Iterator[tuple[str, DutyWorld]]:
    """What is committed under the node's claim may be sent."""
    if world.committed.usage_fence != node.fence:
        return
    for window in world.committed.windows[:1]:
        yield f"{node.name} sends usage", _post(world, Call("usage", "", node.name, node.fence, window))
    for order in world.committed.orders:
        call = Call("scale", "s z", node.name, order.fence, order.desired)
        yield f"{node.name} sends an order", _post(world, call)


def _post(world: DutyWorld, call: Call) -> DutyWorld:
    """A call is on its way; invariants over what is sent are looked at here."""
    key = (call.duty, call.subject, call.fence)
    for kind, other, content in (entry for entry in world.contents if entry[0] == "sent"):
        assert isinstance(other, tuple)
        if other[:3] == key and other[3] != call.holder:
            raise DutyViolationError(f"fence {call.fence} of {call.duty} is sent by {other[3]} and {call.holder}")
        if kind == "sent" and other[:3] == key and call.duty == "scale" and content != call.content:
            raise DutyViolationError(f"fence {call.fence} orders {content} and {call.content}")
    entry = ("sent", (*key, call.holder), call.content if call.duty == "scale" else None)
    recent = (*world.recent, Sent(world.now, call.holder))
    _check_turns(recent)
    return evolve(world, flight=world.flight | {call}, contents=world.contents | {entry}, recent=recent)


def _carry_out(world: DutyWorld, call: Call) -> DutyWorld:
    """The platform carries a call out; it is not sent twice on its way here, since that changes nothing."""
    world = evolve(world, flight=world.flight - {call})
    highest, subject = dict(world.highest), f"{call.duty} {call.subject}"
    if call.fence < highest.get(subject, 0):
        return world
    highest[subject] = call.fence
    contents = world.contents
    if isinstance(call.content, DecidedWindow):
        contents = _with_window(contents, call.content)
    return evolve(world, highest=tuple(sorted(highest.items())), contents=contents)


def _with_window(contents: frozenset[tuple[object, ...]], window: DecidedWindow) -> frozenset[tuple[object, ...]]:
    for entry in contents:
        if entry[:2] == ("window", window.number) and entry[2] != tuple(window.counts.items()):
            raise DutyViolationError(f"window {window.number} has two counts")
    return contents | {("window", window.number, tuple(window.counts.items()))}


def _check_turns(recent: tuple[Sent, ...]) -> None:
    """No holder acts, then another, then the first again within the lease."""
    holders = [call.holder for call in recent]
    newest = holders[-1]
    others = [number for number, holder in enumerate(holders) if holder != newest]
    if others and newest in holders[: others[0]]:
        raise DutyViolationError(f"{newest} acts before and after {holders[others[0]]} within the lease")


# -- search ----------------------------------------------------------------------
@frozen
class DutyReport:
    """What a search met: the number of states, and the shortest history that breaks an invariant."""

    states: int
    found: str = ""
    history: tuple[str, ...] = ()


def search_duties(depth: int = 9, maximum_states: int = 60_000, maximum_elections: int = 4) -> DutyReport:
    """Explore breadth first from a first holder that has acted; shortest histories come first.

    >>> search_duties(depth=3).found
    ''
    """
    start = _start()
    seen, layer = {start.key()}, [(start, ())]
    for _ in range(depth):
        following = []
        for world, history in layer:
            try:
                found = [*_next(world, history, maximum_elections)]
            except _FoundError as error:
                return DutyReport(len(seen), error.text, error.history)
            for other, trace in found:
                key = other.key()
                if key not in seen and len(seen) < maximum_states:
                    seen.add(key)
                    following.append((other, trace))
        layer = following
    return DutyReport(len(seen))


class _FoundError(Exception):
    def __init__(self, text: str, history: tuple[str, ...]) -> None:
        super().__init__(text)
        self.text, self.history = text, history


def _next(
    world: DutyWorld, history: tuple[str, ...], maximum_elections: int
) -> Iterator[tuple[DutyWorld, tuple[str, ...]]]:
    generator, name = moves(world, maximum_elections), ""
    while True:
        try:
            name, other = next(generator)
        except StopIteration:
            return
        except DutyViolationError as error:
            raise _FoundError(str(error), (*history, f"after {name}")) from error
        yield other, (*history, name)


def _start() -> DutyWorld:
    """The first holder has claimed, and decided a window and an order."""
    world = DutyWorld()
    for wanted in ("a wins", "a decides a window", "a orders"):
        world = next(other for name, other in moves(world, 1) if name == wanted)
    return evolve(world, elections=0)
