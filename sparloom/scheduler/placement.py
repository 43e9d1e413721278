"""Which runner a task goes to: the fullest one that has room, near its data where that has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from .specification import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .jobs import Step
    from .runners import Runner

# A rack's label begins so; other labels name a runner's kind.
RACK_PREFIX = "r"


@define(frozen=True, slots=True)
class Placement:
    """Where one task of a step goes."""

    index: int
    runner: Runner


def rack_of(runner: Runner) -> str:
    """Return the label that names a runner's rack; empty without one."""
    return next((label for label in runner.listing.labels if label.startswith(RACK_PREFIX) and "-" in label), "")


def _leftover(runner: Runner, needs: Resources) -> float:
    """Return which parts of a runner would stay free beside a task, summed: the least is the best fit."""
    capacity, used = runner.listing.capacity, runner.used
    left = (capacity.cpu - used.cpu - needs.cpu) / max(1, capacity.cpu)
    left += (capacity.memory_mb - used.memory_mb - needs.memory_mb) / max(1, capacity.memory_mb)
    return left + (capacity.gpus - used.gpus - needs.gpus) / max(1, capacity.gpus)


def _allowed(runner: Runner, step: Step, more_here: int) -> bool:
    """Whether the step's own conditions allow one more of its tasks on a runner."""
    specification = step.specification
    if specification.requirement and specification.requirement not in runner.listing.labels:
        return False
    if not specification.anti_affinity:
        return True
    here = sum(run.step is step for run in runner.runs.values())
    return here + more_here < specification.anti_affinity


def choose(runners: Iterable[Runner], step: Step, planned: dict[int, int] | None = None) -> Runner | None:
    """Return the best runner for one more task of a step, or None where none has room.

    Parameters
    ----------
    runners
        Those that may be given a start, of the step's service.
    planned
        How many further tasks of the step are about to go to a runner, by the runner's ``id()``.
    """
    needs, affinity = step.specification.needs, step.specification.affinity
    best: tuple[bool, float] | None = None
    chosen: Runner | None = None
    for runner in runners:
        if not runner.fits(needs) or not _allowed(runner, step, planned.get(id(runner), 0) if planned else 0):
            continue
        score = (bool(affinity) and affinity not in runner.listing.labels, _leftover(runner, needs))
        if best is None or score < best:
            best, chosen = score, runner
    return chosen


def place_gang(runners: Sequence[Runner], step: Step) -> list[Placement] | None:
    """Return where all tasks of a gang go at once, on one rack where that is wanted; None where they don't fit."""
    if step.specification.same_rack or step.specification.affinity:
        racks: dict[str, list[Runner]] = {}
        for runner in runners:
            racks.setdefault(rack_of(runner), []).append(runner)
        wanted = step.specification.affinity
        for rack in sorted(racks, key=lambda rack: rack != wanted):
            placements = _place_all(racks[rack], step)
            if placements is not None:
                return placements
    return _place_all(runners, step)


def _place_all(runners: Sequence[Runner], step: Step) -> list[Placement] | None:
    """Return a runner for each task of a step, each with what is left beside the others; None where they don't fit."""
    needs = step.specification.needs
    placements: list[Placement] = []
    planned: dict[int, int] = {}
    before = {id(runner): runner.used for runner in runners}
    try:
        for task in step.tasks:
            runner = choose(runners, step, planned)
            if runner is None:
                return None
            placements.append(Placement(task.index, runner))
            planned[id(runner)] = planned.get(id(runner), 0) + 1
            used = runner.used
            runner.used = Resources(used.cpu + needs.cpu, used.memory_mb + needs.memory_mb, used.gpus + needs.gpus)
        return placements
    finally:
        # The runs themselves take their room once they are ordered.
        for runner in runners:
            runner.used = before[id(runner)]
