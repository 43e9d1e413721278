"""Answers of the job primary to routers' calls: submit, cancel or show a job, or count the jobs of a queue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sparloom.scheduler.jobs import Job, queue_checksum
from sparloom.scheduler.messages import JobAction, JobOutcome, JobReply, JobState, call_summary
from sparloom.scheduler.specification import parse_job

from .job_term import wall_clock_ms

if TYPE_CHECKING:
    from sparloom.scheduler.messages import EndedJob, JobCall

    from .job_term import JobTerm

MAX_ACTIVE_JOBS = 20_000
MAX_ENDED_JOBS = 60_000


async def answer_call(term: JobTerm, call: JobCall, wake: asyncio.Event) -> JobReply:
    """Answer a call in a term; sets ``wake`` if there is something to store."""
    if call.action == JobAction.SUBMIT:
        return await _submit(term, call, wake)
    if call.action == JobAction.CANCEL:
        return await _cancel(term, call, wake)
    if call.action == JobAction.SHOW:
        return _show(term, call)
    return _reply(call, JobOutcome.OK, count=_count_queued(term, call.queue))


def _reply(call: JobCall, outcome: JobOutcome, state: int = 0, count: int = 0, text: str = "") -> JobReply:
    return JobReply(call.number, outcome, state, count, text or call_summary(call))


async def _submit(term: JobTerm, call: JobCall, wake: asyncio.Event) -> JobReply:
    if call.job in term.ended or call.job in term.scheduler.jobs:
        return _reply(call, JobOutcome.OK)
    if call.job in term.pending:
        # The same job was submitted on another connection and is not stored yet.
        in_next_write = call.job in term.unstored
        write = term.next_write if in_next_write or term.current_write is None else term.current_write
    else:
        parsed = parse_job(call.body)
        specification = parsed.value_or(None)
        if specification is None:
            return _reply(call, JobOutcome.INVALID, text=str(parsed.failure()))
        if len(term.store.active) >= MAX_ACTIVE_JOBS or len(term.store.ended) >= MAX_ENDED_JOBS:
            return _reply(call, JobOutcome.REJECTED)
        job = Job(call.job, call.queue, call.policy, specification, call.body, wall_clock_ms())
        term.pending[job.id] = term.unstored[job.id] = job
        write = term.next_write
    wake.set()
    return _reply(call, JobOutcome.OK if await asyncio.shield(write) else JobOutcome.UNKNOWN)


async def _cancel(term: JobTerm, call: JobCall, wake: asyncio.Event) -> JobReply:
    if call.job in term.pending:
        await _wait_until_stored(term, wake)
    job = term.scheduler.jobs.get(call.job)
    if job is None or job.queue != call.queue:
        return _reply(call, JobOutcome.OK if _ended_in_queue(term, call) else JobOutcome.GONE)
    if job.end_stored:
        return _reply(call, JobOutcome.OK)
    term.scheduler.cancel(job)
    return _reply(call, JobOutcome.OK if await _wait_until_stored(term, wake) else JobOutcome.UNKNOWN)


async def _wait_until_stored(term: JobTerm, wake: asyncio.Event) -> bool:
    """Wait until all current changes are stored; return whether this is confirmed."""
    term.write_requested = True
    wake.set()
    return await asyncio.shield(term.next_write)


def _ended_in_queue(term: JobTerm, call: JobCall) -> EndedJob | None:
    ended = term.ended.get(call.job)
    return ended if ended is not None and ended.queue == queue_checksum(call.queue) else None


def _show(term: JobTerm, call: JobCall) -> JobReply:
    ended = _ended_in_queue(term, call)
    if ended is not None:
        return _reply(call, JobOutcome.OK, state=ended.state)
    job = term.scheduler.jobs.get(call.job) or term.pending.get(call.job)
    if job is None or job.queue != call.queue:
        return _reply(call, JobOutcome.GONE)
    return _reply(call, JobOutcome.OK, state=JobState.SERVING if job.started else JobState.QUEUED)


def _count_queued(term: JobTerm, queue: str) -> int:
    """Return the number of accepted jobs of a queue of which no task has started."""
    return sum(job.queue == queue and not job.started and job.end is None for job in term.scheduler.jobs.values())
