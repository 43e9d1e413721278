"""The jobs of which something may have to be started, in the order in which they are served."""

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
    """Jobs by priority, then by acceptance; those of which nothing waits are left out until they are woken."""

    _order: list[Key] = field(factory=list)
    _queued: set[int] = field(factory=set)
    _due: list[tuple[float, int]] = field(factory=list)

    def __bool__(self) -> bool:
        return bool(self._order)

    def ids(self) -> list[int]:
        """The ids of the queued jobs, in order."""
        return [job_id for _, _, job_id in self._order]

    def wake(self, job: Job) -> None:
        """Queue a job, unless it is queued."""
        if job.id not in self._queued:
            self._queued.add(job.id)
            insort(self._order, _key(job))

    def rest(self, job: Job) -> None:
        """Leave a job out until it is woken, or until its next time falls due."""
        self.remove(job)
        if job.end is None and job.next_time < job.specification.times:
            heapq.heappush(self._due, (job.specification.due_ms(job.next_time) + DUE_MARGIN_MS, job.id))

    def remove(self, job: Job) -> None:
        """Leave a job out."""
        if job.id in self._queued:
            self._queued.discard(job.id)
            del self._order[bisect_left(self._order, _key(job))]

    def take_due(self, now_ms: float) -> list[int]:
        """Return the ids of the jobs of which a time has fallen due."""
        due = []
        while self._due and self._due[0][0] <= now_ms:
            due.append(heapq.heappop(self._due)[1])
        return due
