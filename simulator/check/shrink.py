"""Shortens the trace of a walk that found a violation, while it still leads to a violation of the same kind."""

from .history import Violation
from .recovery import settle
from .transitions import Deliver, Drop, deviations, fair


def kind(violation):
    """Return the kind of a violation: its message without names, numbers and states.

    >>> kind(Violation("two primaries in one epoch: a and b"))
    'two primaries in one epoch'
    """
    text = str(violation).split(":")[0].split("'")[0]
    return " ".join(word for word in text.split() if not any(character.isdigit() for character in word))


def _matching_message(state, wanted):
    """Return the first message in flight with the same link and record type, or None."""

    def link_and_type(message):
        return message.source, message.target, type(message.record)

    return next((message for message in state.flight if link_and_type(message) == link_and_type(wanted)), None)


def _applicable(state, transition):
    """Return the transition that corresponds to ``transition`` in this state, or None."""
    if isinstance(transition, Deliver | Drop):
        message = _matching_message(state, transition.message)
        if message is None:
            return None
        return Drop(message) if isinstance(transition, Drop) else Deliver(message, transition.again)
    return transition if transition in deviations(state) else None


def replay(start, plan, check_recovery):
    """Play a plan, in which None stands for a fair transition, and check the recovery at the end if asked to.

    Return the violation or None, and the transitions played.
    """
    state, played = start.copy(), []
    try:
        for wanted in plan:
            transition = fair(state) if wanted is None else _applicable(state, wanted)
            if transition is not None:
                played.append(transition)
                transition.play(state)
        if check_recovery:
            settle(state)
    except Violation as violation:
        return violation, played
    return None, played


def as_plan(start, trace):
    """Return the plan of a trace, with None for each fair transition.

    >>> from .transitions import At
    >>> from .model_state import Scope, ModelState
    >>> as_plan(ModelState.begin(Scope()), [At("saved", "a"), At("kill", "b")])
    [None, At(what='kill', node='b')]
    """
    state, plan = start.copy(), []
    for transition in trace:
        plan.append(None if transition == fair(state) else transition)
        try:
            transition.play(state)
        except Violation:
            break
    return plan


def shrink(report, maximum_plays=3000):
    """Shorten the trace of a report to a violation of the same kind; play at most ``maximum_plays`` plans."""
    wanted = kind(report.found)
    plan = as_plan(report.start, report.trace)
    played = 0
    for check_recovery in (False, True):
        violation, _ = replay(report.start, plan, check_recovery)
        if violation is not None and kind(violation) == wanted:
            break
    else:
        return report
    size = max(1, len(plan) // 2)
    while size and played < maximum_plays:
        start, shortened = 0, False
        while start < len(plan) and played < maximum_plays:
            shorter = plan[:start] + plan[start + size :]
            played += 1
            violation, _ = replay(report.start, shorter, check_recovery)
            if violation is not None and kind(violation) == wanted:
                plan, shortened = shorter, True
            else:
                start += size
        size = size if shortened and size == 1 else size // 2
    report.found, report.trace = replay(report.start, plan, check_recovery)
    return report
