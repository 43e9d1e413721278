"""Chooses the runner of a task: the best fit, preferring the rack of the task's data.

``RunnerIndex`` groups the runners of a service into buckets by free CPU, once
over all runners and once per label. A choice thus examines only a few
runners, whatever the size of the fleet, provided that most runners meet the
step's constraints.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from attrs import define, field

from .specification import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .jobs import Step
    from .runners import Runner

# Prefix of a rack's label, which also contains a dash. Other labels name a runner's kind.
RACK_PREFIX = "r"
# Range of free CPU that one bucket covers, in thousandths of a core. The last bucket also has all runners above it.
BUCKET_WIDTH_MILLICORES = 1000
BUCKET_COUNT = 128
# Number of suitable runners of a bucket that are compared to find the best fit.
CANDIDATES_PER_BUCKET = 24
# Key of the buckets that contain all runners of a service.
ANY_LABEL = ""


@define(frozen=True, slots=True)
class Placement:
    """The runner chosen for one task of a step."""

    index: int
    runner: Runner


def is_rack(label: str) -> bool:
    """Whether a label names a rack.

    >>> is_rack("r1-3"), is_rack("a")
    (True, False)
    """
    return label.startswith(RACK_PREFIX) and "-" in label


def _bucket_of(cpu: int) -> int:
    return max(0, min(BUCKET_COUNT - 1, cpu // BUCKET_WIDTH_MILLICORES))


def _remaining_fraction(runner: Runner, needs: Resources) -> float:
    """Return the sum of the capacity fractions that remain free beside a task: the lowest value is the best fit."""
    capacity, used = runner.listing.capacity, runner.used
    remaining = (capacity.cpu - used.cpu - needs.cpu) / max(1, capacity.cpu)
    remaining += (capacity.memory_mb - used.memory_mb - needs.memory_mb) / max(1, capacity.memory_mb)
    return remaining + (capacity.gpus - used.gpus - needs.gpus) / max(1, capacity.gpus)


def _meets_constraints(runner: Runner, step: Step, planned_here: int) -> bool:
    """Whether a step's label requirement and anti-affinity allow one more of its tasks on a runner."""
    specification = step.specification
    if specification.requirement and specification.requirement not in runner.listing.labels:
        return False
    if not specification.anti_affinity:
        return True
    placed_here = sum(run.step is step for run in runner.runs.values())
    return placed_here + planned_here < specification.anti_affinity


@define(slots=True, eq=False)
class RunnerIndex:
    """The runners of one service that accept starts, indexed by label and free CPU."""

    _buckets: dict[str, list[dict[str, Runner]]] = field(factory=dict)
    _positions: dict[str, tuple[int, frozenset[str]]] = field(factory=dict)

    def put(self, runner: Runner) -> None:
        """Add a runner, or update its position after its free CPU or its labels have changed."""
        listing = runner.listing
        position = (_bucket_of(listing.capacity.cpu - runner.used.cpu), listing.labels)
        if self._positions.get(listing.id) == position:
            return
        self.remove(listing.id)
        self._positions[listing.id] = position
        for label in (ANY_LABEL, *listing.labels):
            buckets = self._buckets.get(label)
            if buckets is None:
                buckets = self._buckets[label] = [{} for _ in range(BUCKET_COUNT)]
            buckets[position[0]][listing.id] = runner

    def remove(self, runner_id: str) -> None:
        """Remove a runner."""
        position = self._positions.pop(runner_id, None)
        if position is None:
            return
        for label in (ANY_LABEL, *position[1]):
            self._buckets[label][position[0]].pop(runner_id, None)

    @property
    def racks(self) -> list[str]:
        """The racks of all runners."""
        return [label for label in self._buckets if is_rack(label)]

    def _candidate_buckets(self, label: str, cpu: int) -> Iterator[Iterable[Runner]]:
        """Yield the runners of each bucket that may have enough free CPU, the bucket with the least free CPU first."""
        for bucket in self._buckets.get(label, [])[_bucket_of(cpu) :]:
            if bucket:
                yield bucket.values()

    def choose(
        self, step: Step, now: float, label: str = ANY_LABEL, planned: dict[str, int] | None = None
    ) -> Runner | None:
        """Return the best runner with a label for one more task of a step, or None if none has capacity.

        Parameters
        ----------
        now
            Seconds of the monotonic clock; runners that are being avoided are skipped.
        planned
            Number of tasks of the step that are already planned for a runner in this placement, by its id.
        """
        needs = step.specification.needs
        for runners in self._candidate_buckets(label, needs.cpu):
            # Unsuitable runners must be filtered out first: they stay at the front of their bucket, since only a start
            # or an end moves a runner, and would otherwise use up the comparison.
            suitable = (
                runner
                for runner in runners
                if runner.fits(needs)
                and runner.usable(now)
                and _meets_constraints(runner, step, planned.get(runner.listing.id, 0) if planned else 0)
            )
            candidates = list(islice(suitable, CANDIDATES_PER_BUCKET))
            if candidates:
                return min(candidates, key=lambda runner: _remaining_fraction(runner, needs))
        return None

    def choose_with_affinity(self, step: Step, now: float) -> Runner | None:
        """Return the best runner for one task of a step, on the rack of its data if a runner there has capacity."""
        specification = step.specification
        if specification.affinity and (preferred := self.choose(step, now, specification.affinity)) is not None:
            return preferred
        return self.choose(step, now, specification.requirement or ANY_LABEL)

    def place_gang(self, step: Step, now: float) -> list[Placement] | None:
        """Return a runner for each task of a gang, on one rack if requested and possible; None if not all fit."""
        specification = step.specification
        labels = [specification.affinity] if specification.affinity else []
        if specification.same_rack:
            labels += self.racks
        for label in (*labels, specification.requirement or ANY_LABEL):
            placements = self._place_all(step, now, label)
            if placements is not None:
                return placements
        return None

    def _place_all(self, step: Step, now: float, label: str) -> list[Placement] | None:
        """Return a runner with a label for each task of a step; None if not all fit at the same time."""
        needs = step.specification.needs
        placements: list[Placement] = []
        planned: dict[str, int] = {}
        original_use: dict[str, tuple[Runner, Resources]] = {}
        for task in step.tasks:
            runner = self.choose(step, now, label, planned)
            if runner is None:
                break
            placements.append(Placement(task.index, runner))
            runner_id = runner.listing.id
            planned[runner_id] = planned.get(runner_id, 0) + 1
            original_use.setdefault(runner_id, (runner, runner.used))
            runner.used = runner.used.plus(needs)
            self.put(runner)
        # The capacity was reserved only for this choice; the runs reserve it when they are requested.
        for runner, used in original_use.values():
            runner.used = used
            self.put(runner)
        return placements if len(placements) == len(step.tasks) else None
