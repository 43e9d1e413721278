"""What must come back once troubles end: a primary, writes, all copies, and the strength to bear any tolerated loss."""

from itertools import combinations

from .history import Violation
from .model_state import NEWCOMERS
from .transitions import At, disks_lost, run_fairly, whole

PRIMARY_MS = 8000
WRITE_MS = 4000
REPAIR_MS = 12000


def end_troubles(world):
    """All links up, all disks well, every machine that is still there runs."""
    world.cuts = frozenset()
    for name, node in world.nodes.items():
        if node.gone or node.left:
            continue
        world.own(name).stalled = False
        if node.ledger is None:
            At("boot", name).play(world)


def replace_machines(world):
    """Brings an empty machine for each one that is gone for good."""
    while sum(not (node.gone or node.left or node.leaving) for node in world.nodes.values()) < len(world.scope.members):
        At("join", next(name for name in NEWCOMERS if name not in world.nodes)).play(world)


def _write_succeeds(world):
    before = len(world.history.acknowledged)

    def acknowledged(now):
        return len(now.history.acknowledged) > before

    for _ in range(10):
        name = world.primary()
        if name is not None:
            world.order(name)
        if run_fairly(world, WRITE_MS // 10, acknowledged):
            return True
    return False


def serves(world, when):
    """Raises a violation unless a primary comes up in time and a write succeeds."""
    if not run_fairly(world, PRIMARY_MS, lambda now: now.primary() is not None):
        raise Violation(f"no primary within {PRIMARY_MS} ms {when}")
    if not _write_succeeds(world):
        raise Violation(f"no write succeeds within {WRITE_MS} ms {when}")


def _losses(world):
    """Every set of members whose loss is tolerated."""
    here = world.up()
    return [set(names) for names in combinations(here, world.scope.replicas)]


def closing_losses(world):
    """Every set of members whose disks may be lost in this very state, none included.

    No more disks are lost than are tolerated, those counted that no repair has made good yet.
    """
    left = world.scope.replicas - disks_lost(world)
    with_disks = [name for name, node in world.nodes.items() if node.disk and not node.gone and not node.left]
    return [set(names) for size in range(left + 1) for names in combinations(with_disks, size)]


def close(world, names):
    """All lose power at once and some lose their disks, in whatever state they are; then all must come back."""
    world = world.copy()
    running = [name for name, node in world.nodes.items() if not node.gone and not node.left]
    for name in running:
        world.stop(name)
    for name in sorted(names):
        world.wipe(name)
    world.flight, world.orders, world.cuts = [], {}, frozenset()
    for name in running:
        world.boot(name)
    lost = " and ".join(sorted(names)) or "no one"
    serves(world, f"after all lost power and {lost} the disk")


def settle(world, then_lose=True):
    """Ends all troubles on a copy of a world; raises a violation unless all comes back.

    So it must after a closing fault right now, too.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> settle(ready(Scope()), then_lose=False)
    """
    for names in closing_losses(world):
        close(world, names)
    world = world.copy()
    end_troubles(world)
    serves(world, "after all troubles ended")
    replace_machines(world)
    if not run_fairly(world, REPAIR_MS, whole):
        raise Violation(f"not whole again within {REPAIR_MS} ms after all troubles ended: {_missing(world)}")
    for names in _losses(world) if then_lose else ():
        after = world.copy()
        for name in sorted(names):
            At("remove", name).play(after)
        serves(after, f"after the loss of {' and '.join(sorted(names))} following a finished repair")


def _missing(world):
    from . import adapter

    name = world.primary()
    if name is None:
        return "no primary"
    view = adapter.leading_view(world.nodes[name].ledger)
    roster = [world.holder(i).name if world.holder(i) else f"gone {i}" for i in view.ids]
    holders = [world.holder(i).name if world.holder(i) else f"gone {i}" for i in view.holders]
    return f"roster {' '.join(roster)}; holders {' '.join(holders)}"
