"""Priority queue of the jobs that may have tasks to start."""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from typing import TYPE_CHECKING

from attrs import define, field

from .jobs import DUE_MARGIN_MS

if TYPE_CHECKING:
    from .jobs import Job

    Key = tuple[int, int, int]


def _key(job: Job) -> Key:
    return (job.policy.priority, job.accepted_ms, job.id)


@define(slots=True, eq=False)
class JobQueue:
    """Jobs ordered by priority, then by acceptance time.

    A job without waiting tasks is suspended: it leaves the queue until it is enqueued again or a repetition falls due.
    """

    _order: list[Key] = field(factory=list)
    _queued: set[int] = field(factory=set)
    _due_times: list[tuple[float, int]] = field(factory=list)

    def __bool__(self) -> bool:
        return bool(self._order)

    def ids(self) -> list[int]:
        """The ids of the queued jobs, in queue order."""
        return [job_id for _, _, job_id in self._order]

    def enqueue(self, job: Job) -> None:
        """Add a job, unless it is queued already."""
        if job.id not in self._queued:
            self._queued.add(job.id)
            insort(self._order, _key(job))

    def suspend(self, job: Job) -> None:
        """Remove a job from the queue, and schedule its next repetition."""
        self.remove(job)
        if job.end is None and job.next_repetition < job.specification.repetition_count:
            heapq.heappush(self._due_times, (job.specification.due_ms(job.next_repetition) + DUE_MARGIN_MS, job.id))

    def remove(self, job: Job) -> None:
        """Remove a job from the queue."""
        if job.id in self._queued:
            self._queued.discard(job.id)
            del self._order[bisect_left(self._order, _key(job))]

    def pop_due(self, now_ms: float) -> list[int]:
        """Remove and return the ids of the jobs of which a repetition has fallen due."""
        due = []
        while self._due_times and self._due_times[0][0] <= now_ms:
            due.append(heapq.heappop(self._due_times)[1])
        return due
