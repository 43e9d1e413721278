"""The state of one term of a job primary, and the time of day that goes into what it stores."""

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
    """Return the time of day, in milliseconds since 1970.

    >>> wall_clock_ms() > 1_600_000_000_000
    True
    """
    return int(time.time() * 1000)


@define(slots=True, eq=False)
class JobTerm:
    """What lives as long as a member is the job primary without a break.

    Attributes
    ----------
    epoch
        The epoch of the consensus group; it may change while this member goes on to lead.
    store
        The bytes of all jobs, those that are not stored yet included.
    scheduler, calls
        Decide where tasks run, and carry it out.
    arriving
        Jobs that are not stored yet, by id.
    ended
        Jobs whose end is stored, by id: what clients are shown.
    unstored
        Jobs that the next write takes.
    deferred
        Events that came while this member did not lead.
    next_write, current_write
        Resolved with whether the next write, or the one under way, has been stored.
    awaited
        Whether somebody waits for the next write, even if it has nothing to store.
    """

    epoch: int
    store: JobStore
    scheduler: Scheduler
    calls: RunnerCalls
    arriving: dict[int, Job] = field(factory=dict)
    ended: dict[int, EndedJob] = field(factory=dict)
    unstored: dict[int, Job] = field(factory=dict)
    deferred: list[Event] = field(factory=list)
    next_write: asyncio.Future[bool] = field(factory=lambda: asyncio.get_running_loop().create_future())
    awaited: bool = False
    current_write: asyncio.Future[bool] | None = None
