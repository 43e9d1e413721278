"""Which runner a task goes to: the fullest one that has room, near its data where that has room.

``RunnerIndex`` keeps the runners of a service in buckets by their free
processor, once for all and once for each label, so that a choice looks at a
few runners, however many there are, as long as most of them are suitable.
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

# A rack's label begins so and has a dash; other labels name a runner's kind.
RACK_PREFIX = "r"
# Free processor that one bucket spans, in thousandths of a core; all beyond the last bucket shares it.
BUCKET_CPU = 1000
BUCKETS = 128
# Of so many suitable runners of a bucket the best one is taken.
COMPARED_PER_BUCKET = 24
# The label under which all runners of a service stand.
ANY = ""


@define(frozen=True, slots=True)
class Placement:
    """Where one task of a step goes."""

    index: int
    runner: Runner


def is_rack(label: str) -> bool:
    """Whether a label names a rack.

    >>> is_rack("r1-3"), is_rack("a")
    (True, False)
    """
    return label.startswith(RACK_PREFIX) and "-" in label


def _bucket_of(cpu: int) -> int:
    return max(0, min(BUCKETS - 1, cpu // BUCKET_CPU))


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


@define(slots=True, eq=False)
class RunnerIndex:
    """The runners of one service that may be given starts, by label and free processor."""

    _buckets: dict[str, list[dict[str, Runner]]] = field(factory=dict)
    _places: dict[str, tuple[int, frozenset[str]]] = field(factory=dict)

    def put(self, runner: Runner) -> None:
        """Take a runner in, or note that its room or its labels have changed."""
        listing = runner.listing
        place = (_bucket_of(listing.capacity.cpu - runner.used.cpu), listing.labels)
        if self._places.get(listing.id) == place:
            return
        self.remove(listing.id)
        self._places[listing.id] = place
        for label in (ANY, *listing.labels):
            buckets = self._buckets.get(label)
            if buckets is None:
                buckets = self._buckets[label] = [{} for _ in range(BUCKETS)]
            buckets[place[0]][listing.id] = runner

    def remove(self, runner_id: str) -> None:
        """Leave a runner out."""
        place = self._places.pop(runner_id, None)
        if place is None:
            return
        for label in (ANY, *place[1]):
            self._buckets[label][place[0]].pop(runner_id, None)

    @property
    def racks(self) -> list[str]:
        """The racks of all runners."""
        return [label for label in self._buckets if is_rack(label)]

    def _buckets_with_room(self, label: str, cpu: int) -> Iterator[Iterable[Runner]]:
        """The runners of each bucket that may have room, the fullest bucket first."""
        for bucket in self._buckets.get(label, [])[_bucket_of(cpu) :]:
            if bucket:
                yield bucket.values()

    def choose(self, step: Step, now: float, label: str = ANY, planned: dict[str, int] | None = None) -> Runner | None:
        """Return the best runner with a label for one more task of a step, or None where none has room.

        Parameters
        ----------
        now
            Seconds of the monotonic clock: some runners are avoided for a while.
        planned
            How many further tasks of the step are about to go to a runner, by its id.
        """
        needs = step.specification.needs
        for runners in self._buckets_with_room(label, needs.cpu):
            # Runners that get no starts stay in front of their bucket, so they must not use up the comparison.
            suitable = (
                runner
                for runner in runners
                if runner.fits(needs)
                and runner.usable(now)
                and _allowed(runner, step, planned.get(runner.listing.id, 0) if planned else 0)
            )
            compared = list(islice(suitable, COMPARED_PER_BUCKET))
            if compared:
                return min(compared, key=lambda runner: _leftover(runner, needs))
        return None

    def choose_near(self, step: Step, now: float) -> Runner | None:
        """Return the best runner for one task of a step, on the rack of its data if that has room."""
        specification = step.specification
        if specification.affinity and (near := self.choose(step, now, specification.affinity)) is not None:
            return near
        return self.choose(step, now, specification.requirement or ANY)

    def place_gang(self, step: Step, now: float) -> list[Placement] | None:
        """Return where all tasks of a gang go at once, on one rack where that is wanted; None where they don't fit."""
        specification = step.specification
        labels = [specification.affinity] if specification.affinity else []
        if specification.same_rack:
            labels += self.racks
        for label in (*labels, specification.requirement or ANY):
            placements = self._place_all(step, now, label)
            if placements is not None:
                return placements
        return None

    def _place_all(self, step: Step, now: float, label: str) -> list[Placement] | None:
        """Return a runner with a label for each task of a step; None where they don't fit beside each other."""
        needs = step.specification.needs
        placements: list[Placement] = []
        planned: dict[str, int] = {}
        before: dict[str, tuple[Runner, Resources]] = {}
        for task in step.tasks:
            runner = self.choose(step, now, label, planned)
            if runner is None:
                break
            placements.append(Placement(task.index, runner))
            runner_id = runner.listing.id
            planned[runner_id] = planned.get(runner_id, 0) + 1
            before.setdefault(runner_id, (runner, runner.used))
            runner.used = runner.used.plus(needs)
            self.put(runner)
        # The runs themselves take their room once they are ordered.
        for runner, used in before.values():
            runner.used = used
            self.put(runner)
        return placements if len(placements) == len(step.tasks) else None
