"""``JobTerm``: the state of one term of a job primary; and the wall clock used in stored jobs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from sparloom.scheduler.events import Event
    from sparloom.scheduler.jobs import Job, JobStore
    from sparloom.scheduler.messages import EndedJob
    from sparloom.scheduler.scheduler import Scheduler

    from .runner_calls import RunnerCalls


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch.

    >>> wall_clock_ms() > 1_600_000_000_000
    True
    """
    return int(time.time() * 1000)


@define(slots=True, eq=False)
class JobTerm:
    """The state of one uninterrupted term of a member as the job primary.

    Attributes
    ----------
    epoch
        The epoch of the consensus group; it may change while this member remains the primary.
    store
        All jobs to store, including those that are not committed yet.
    scheduler, calls
        The scheduler decides where tasks run; the calls carry out its instructions.
    pending
        Submitted jobs that are not stored yet, by id.
    ended
        Jobs whose end is stored, by id; clients see these as ended.
    unstored
        Submitted jobs that the next write includes, by id.
    deferred
        Events that were received while this member did not lead.
    next_write, current_write
        Futures that resolve to whether the next write, or the one in progress, was stored.
    write_requested
        Whether a caller waits for the next write, even if there is nothing to store.
    """

    epoch: int
    store: JobStore
    scheduler: Scheduler
    calls: RunnerCalls
    pending: dict[int, Job] = field(factory=dict)
    ended: dict[int, EndedJob] = field(factory=dict)
    unstored: dict[int, Job] = field(factory=dict)
    deferred: list[Event] = field(factory=list)
    next_write: asyncio.Future[bool] = field(factory=lambda: asyncio.get_running_loop().create_future())
    write_requested: bool = False
    current_write: asyncio.Future[bool] | None = None
