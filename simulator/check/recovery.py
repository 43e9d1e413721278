"""Liveness checks: once all faults end, a primary, writes and all copies return, and any tolerated loss is survived."""

from itertools import combinations

from .history import Violation
from .model_state import NEWCOMERS
from .transitions import At, disks_lost, fully_repaired, run_fairly

PRIMARY_MS = 8000
WRITE_MS = 4000
REPAIR_MS = 12000


def end_faults(state):
    """Heal all links and disks, and start every machine that was neither removed nor left."""
    state.cuts = frozenset()
    for name, node in state.nodes.items():
        if node.removed or node.left:
            continue
        state.own(name).stalled = False
        if node.ledger is None:
            At("boot", name).play(state)


def replace_machines(state):
    """Add empty machines until the fleet has its first size again, without removed and leaving machines."""
    while sum(not (node.removed or node.left or node.leaving) for node in state.nodes.values()) < len(
        state.scope.members
    ):
        At("join", next(name for name in NEWCOMERS if name not in state.nodes)).play(state)


def _write_succeeds(state):
    acknowledged_before = len(state.history.acknowledged)

    def acknowledged(current):
        return len(current.history.acknowledged) > acknowledged_before

    for _ in range(10):
        name = state.primary()
        if name is not None:
            state.order(name)
        if run_fairly(state, WRITE_MS // 10, acknowledged):
            return True
    return False


def check_service(state, condition):
    """Raise a violation unless a primary is elected in time and a write succeeds."""
    if not run_fairly(state, PRIMARY_MS, lambda current: current.primary() is not None):
        raise Violation(f"no primary within {PRIMARY_MS} ms {condition}")
    if not _write_succeeds(state):
        raise Violation(f"no write succeeds within {WRITE_MS} ms {condition}")


def _tolerable_losses(state):
    """Return every largest set of members whose loss is tolerated."""
    running = state.up()
    return [set(names) for names in combinations(running, state.scope.replicas)]


def tolerable_disk_losses(state):
    """Return every set of members whose disks may be lost in this state, including the empty set.

    Disk losses that are not repaired yet count towards the tolerated number.
    """
    remaining_losses = state.scope.replicas - disks_lost(state)
    with_disks = [name for name, node in state.nodes.items() if node.disk and not node.removed and not node.left]
    return [set(names) for size in range(remaining_losses + 1) for names in combinations(with_disks, size)]


def check_power_loss(state, names):
    """Let all members lose power at once and some lose their disks; raise a violation unless service returns."""
    state = state.copy()
    running = [name for name, node in state.nodes.items() if not node.removed and not node.left]
    for name in running:
        state.stop(name)
    for name in sorted(names):
        state.wipe(name)
    state.flight, state.orders, state.cuts = [], {}, frozenset()
    for name in running:
        state.boot(name)
    lost = " and ".join(sorted(names)) or "none"
    check_service(state, f"after a power loss of all members with loss of the disks of {lost}")


def settle(state, then_lose=True):
    """End all faults on a copy of a state; raise a violation unless the fleet recovers completely.

    It must also recover from a power loss with any tolerable loss of disks in this very state.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> settle(ready(Scope()), then_lose=False)
    """
    for names in tolerable_disk_losses(state):
        check_power_loss(state, names)
    state = state.copy()
    end_faults(state)
    check_service(state, "after all faults ended")
    replace_machines(state)
    if not run_fairly(state, REPAIR_MS, fully_repaired):
        raise Violation(f"not fully repaired within {REPAIR_MS} ms after all faults ended: {_describe_view(state)}")
    for names in _tolerable_losses(state) if then_lose else ():
        reduced = state.copy()
        for name in sorted(names):
            At("remove", name).play(reduced)
        check_service(reduced, f"after the loss of {' and '.join(sorted(names))} following a finished repair")


def _describe_view(state):
    from . import adapter

    name = state.primary()
    if name is None:
        return "no primary"
    view = adapter.leading_view(state.nodes[name].ledger)
    roster = [state.holder(identity).name if state.holder(identity) else f"removed {identity}" for identity in view.ids]
    holders = [
        state.holder(identity).name if state.holder(identity) else f"removed {identity}" for identity in view.holders
    ]
    return f"roster {' '.join(roster)}; holders {' '.join(holders)}"
