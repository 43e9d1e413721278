"""``JobService``: a controller's part of the job system. It stores jobs, runs the scheduler and answers routers' calls.

Jobs have a separate consensus group among the controllers, with its own disk
file, port and primary (``docs/notes/scheduler.md``). The job primary stores all
jobs in one state, batches the changes of each write, and sends the scheduler's
orders to the runners.
"""

from __future__ import annotations

import asyncio
import itertools
import os
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from absl import logging
from attrs import evolve
from mode import Service

from sparloom.scheduler.events import RunnersListed, ZonesEvacuated
from sparloom.scheduler.jobs import Job, JobStore
from sparloom.scheduler.messages import JobCall, JobOutcome, JobReply
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from sparloom.scheduler.stalled import stalled_tasks
from sparloom.settings import ORDERS_BY_CALL
from sparloom.transport import monotonic
from sparloom.transport.http_client import Connector, open_session

from .consensus_service import ConsensusService
from .job_answers import answer_call
from .job_calls import serve_job_calls
from .job_term import JobTerm, wall_clock_ms
from .runner_calls import RunnerCalls
from .runner_list import read_all_pages

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.consensus import Data
    from sparloom.scheduler.events import Event
    from sparloom.scheduler.scheduler import Changes
    from sparloom.settings import Settings
    from sparloom.transport import Frames

DATA_FOLDER = "jobs"
# Interval of the scheduler's ticks and of the checks for changes to write.
TICK_INTERVAL_S = 0.02
# Polling interval while this member does not lead.
IDLE_PAUSE_S = 0.05
# Interval of reading the platform's list of runners.
LIST_INTERVAL_S = 1.0
# Timeout of the request for one page of the list.
LIST_TIMEOUT_S = 1.0
# Ended jobs are retained for this time beyond the configured status bound.
ENDED_JOB_RETENTION_MARGIN = timedelta(seconds=30)
# Interval of the log messages about stalled tasks.
STALLED_LOG_INTERVAL_S = 5.0
# Maximum number of stalled tasks that are logged in each interval.
MAX_LOGGED_STALLED_TASKS = 5
# Timeout of a write attempt; after it, the service checks whether the term still holds and writes again.
WRITE_TIMEOUT = timedelta(seconds=5)
# Maximum time that a term waits for this member to lead again. The runners still hold their tasks by then.
RESUME_TIMEOUT = timedelta(seconds=3)
CONFIRM_TIMEOUT = timedelta(seconds=1)
STALL_TIMEOUT = timedelta(seconds=2)


class JobService(Service):
    """Stores and schedules jobs while this member is the primary of the jobs' consensus group.

    Attributes
    ----------
    settings : Settings
        The settings of the process.
    consensus : ConsensusService
        This controller's member of the jobs' consensus group.
    evacuated_zones : callable
        Returns the evacuated zones that this controller knows of; None before it has any control state.
    """

    def __init__(
        self, settings: Settings, evacuated_zones: Callable[[], frozenset[str] | None] = lambda: frozenset()
    ) -> None:
        super().__init__()
        self.settings = settings
        self.evacuated_zones = evacuated_zones
        self.consensus = ConsensusService(self._group_settings(settings), self._serve, self._on_committed)
        self._term: JobTerm | None = None
        self._wake = asyncio.Event()

    @staticmethod
    def _group_settings(settings: Settings) -> Settings:
        """Return the settings of the jobs' group, which uses a different port and data directory."""
        folder = os.path.join(settings.data or "", DATA_FOLDER)
        return evolve(settings, ports=(settings.job_port, settings.ports[1]), data=folder)

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings that have been validated."""
        self.settings = settings
        self.consensus.apply_settings(self._group_settings(settings))

    async def on_start(self) -> None:
        """Start this controller's member of the jobs' consensus group."""
        if self.settings.orders != ORDERS_BY_CALL:
            logging.warning("jobs: rejecting all job calls, unsupported setting orders=%r", self.settings.orders)
        await self.add_runtime_dependency(self.consensus)

    async def on_stop(self) -> None:
        """End the current term, if there is one."""
        await self._end_term()

    def _on_committed(self, data: Data) -> None:
        """Ignore a committed state: the caller of the write handles the result."""

    # -- terms --------------------------------------------------------------------
    def _active_term(self) -> JobTerm | None:
        """Return the term if this member still leads in its epoch."""
        term = self._term
        return term if term is not None and self.consensus.leading_epoch() == term.epoch else None

    @Service.task
    async def _run_terms(self) -> None:
        """Start and end terms, and write changes."""
        while not self.should_stop:
            epoch, term = self.consensus.leading_epoch(), self._term
            if term is not None and (term.scheduler.deposed or not await self._resume(term)):
                await self._end_term()
            elif term is not None:
                await self._write_changes(term)
            elif epoch is not None:
                await self._begin_term(epoch)
            else:
                await asyncio.sleep(IDLE_PAUSE_S)

    async def _begin_term(self, epoch: int) -> None:
        """Store a new term number, then load the jobs that the previous term stored."""
        data = await self.consensus.confirm(CONFIRM_TIMEOUT)
        # Without the control state, the scheduler might start a task in an evacuated zone.
        if data is None or self.consensus.leading_epoch() != epoch or self.evacuated_zones() is None:
            await asyncio.sleep(IDLE_PAUSE_S)
            return
        store = JobStore.load(data.blob)
        store.term += 1
        # The term is the fencing token. It must be durable before a runner sees it, so that the next term is higher.
        written = await self.consensus.write(0, store.blob(), WRITE_TIMEOUT)
        if written is None or self.consensus.leading_epoch() != epoch:
            await asyncio.sleep(IDLE_PAUSE_S)
            return
        timing = JobTiming(self.settings.jobs.hold_limit.total_seconds(), self.settings.jobs.gang.total_seconds())
        scheduler = Scheduler(
            store.term, monotonic().total_seconds(), timing, evacuated_zones=self.evacuated_zones() or frozenset()
        )
        calls = RunnerCalls(store.term, self._on_event)
        self._term = JobTerm(epoch, store, scheduler, calls, ended=dict(store.ended))
        for job in store.jobs():
            scheduler.add(job)
        logging.info("jobs: term started term=%d active=%d ended=%d", store.term, len(store.active), len(store.ended))

    async def _resume(self, term: JobTerm) -> bool:
        """Return whether a term continues: immediately while this member leads, otherwise once it leads again.

        After a view change, a member may lead again in a new epoch. If another member had sent orders to runners
        in between, it would have stored its own term first.
        """
        if self.consensus.leading_epoch() == term.epoch:
            return True
        resume_deadline = monotonic() + RESUME_TIMEOUT
        while monotonic() < resume_deadline and not self.should_stop:
            epoch = self.consensus.leading_epoch()
            data = await self.consensus.confirm(CONFIRM_TIMEOUT) if epoch is not None else None
            if epoch is None or data is None or self.consensus.leading_epoch() != epoch:
                await asyncio.sleep(TICK_INTERVAL_S)
                continue
            if JobStore.load(data.blob).term != term.store.term:
                return False
            logging.info("jobs: term continues term=%d", term.store.term)
            term.epoch = epoch
            deferred, term.deferred = term.deferred, []
            for event in deferred:
                self._on_event(event)
            return True
        return False

    async def _end_term(self) -> None:
        term, self._term = self._term, None
        if term is None:
            return
        for write in (term.current_write, term.next_write):
            if write is not None and not write.done():
                write.set_result(False)
        await term.calls.close()
        logging.info("jobs: term ended term=%d", term.store.term)

    # -- storing ------------------------------------------------------------------
    async def _write_changes(self, term: JobTerm) -> None:
        """Store all changes since the last write in one write."""
        changes = term.scheduler.take_changes()
        if changes is None and not term.unstored and not term.write_requested:
            self._wake.clear()
            try:
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            return
        new_jobs, term.unstored = term.unstored, {}
        changed = {job.id: job for job in changes.jobs} if changes else {}
        write, term.next_write = term.next_write, asyncio.get_running_loop().create_future()
        term.write_requested = False
        term.current_write = write
        if new_jobs or changed:
            now_ms = wall_clock_ms()
            for job in (new_jobs | changed).values():
                term.store.put(job, now_ms)
            term.store.forget(
                now_ms - int((self.settings.jobs.status + ENDED_JOB_RETENTION_MARGIN).total_seconds() * 1000)
            )
            if not await self._write(term):
                return
        self._on_stored(term, new_jobs, changes)
        if not write.done():
            write.set_result(True)

    async def _write(self, term: JobTerm) -> bool:
        """Write the store, with retries while the term continues; return whether it was committed."""
        blob = term.store.blob()
        while self._term is term and not term.scheduler.deposed and await self._resume(term):
            if await self.consensus.write(0, blob, WRITE_TIMEOUT) is not None and self._active_term() is term:
                return True
            await asyncio.sleep(TICK_INTERVAL_S)
        return False

    @staticmethod
    def _log_failures(term: JobTerm, changes: Changes) -> None:
        """Log each counted failure of an attempt; only these failures can fail a job."""
        for failure in changes.failures:
            logging.info(
                "jobs: attempt failed task=%s run=%d runner=%s term=%d count=%d of=%d",
                failure.task,
                failure.run,
                failure.runner,
                term.store.term,
                failure.count,
                failure.allowed,
            )

    @staticmethod
    def _log_dropped_runs(term: JobTerm) -> None:
        """Log each run that was dropped before it ended, with its last known state."""
        for run in term.scheduler.take_dropped_runs():
            logging.info(
                "jobs: run dropped reason=%s task=%s run=%d runner=%s phase=%s unanswered=%s ordered_s=%.3f"
                " listed_s=%.3f hold_left_s=%.3f",
                run.reason.value.replace(" ", "_"),
                run.task,
                run.number,
                run.runner,
                run.phase.lower(),
                run.unanswered,
                run.ordered_s,
                run.listed_s,
                run.hold_left_s,
            )

    def _on_stored(self, term: JobTerm, new_jobs: dict[int, Job], changes: Changes | None) -> None:
        for job in new_jobs.values():
            if term.pending.pop(job.id, None) is not None:
                term.scheduler.add(job)
        if changes is not None:
            self._log_failures(term, changes)
            term.scheduler.mark_stored(changes)
            for job_id in changes.ended:
                term.ended[job_id] = term.store.ended[job_id]
        if len(term.ended) > len(term.store.ended):
            term.ended = {job_id: ended for job_id, ended in term.ended.items() if job_id in term.store.ended}

    # -- the scheduler ------------------------------------------------------------
    def _on_event(self, event: Event) -> None:
        term = self._active_term()
        if term is None:
            if self._term is not None:
                self._term.deferred.append(event)
            return
        now = monotonic().total_seconds()
        for instruction in term.scheduler.handle(event, now, wall_clock_ms()):
            term.calls.carry_out(instruction)
        self._wake.set()

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK_INTERVAL_S)
            term = self._active_term()
            if term is None:
                continue
            zones = self.evacuated_zones()
            if zones is not None and zones != term.scheduler.evacuated_zones:
                logging.info("jobs: zones evacuated zones=%s", ",".join(sorted(zones)) or "none")
                self._on_event(ZonesEvacuated(zones))
            for instruction in term.scheduler.tick(monotonic().total_seconds(), wall_clock_ms()):
                term.calls.carry_out(instruction)
            self._log_dropped_runs(term)

    @Service.task
    async def _log_stalled_tasks(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(STALLED_LOG_INTERVAL_S)
            term = self._active_term()
            if term is None:
                continue
            stalled = stalled_tasks(term.scheduler.jobs.values(), monotonic().total_seconds())
            for task in itertools.islice(stalled, MAX_LOGGED_STALLED_TASKS):
                logging.warning(
                    "scheduler: task is stalled task=%s state=%s runner=%s for_ms=%d",
                    task.name,
                    task.state,
                    task.runner,
                    task.duration_s * 1000,
                )

    @Service.task
    async def _list_runners(self) -> None:
        """Read the platform's list of runners while this member is the job primary."""
        platform = self.settings.cloud_api
        if platform is None:
            return
        async with open_session(Connector(), timeout=aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)) as session:
            while not self.should_stop:
                term = self._active_term()
                if term is None:
                    await asyncio.sleep(IDLE_PAUSE_S)
                    continue
                runners = await read_all_pages(session, f"http://{platform.address}/instances")
                if runners is not None and self._active_term() is term:
                    self._on_event(RunnersListed(tuple(runners)))
                await asyncio.sleep(LIST_INTERVAL_S if runners is not None else IDLE_PAUSE_S * 4)

    # -- routers' calls -----------------------------------------------------------
    async def _serve(self, frames: Frames, first: Record) -> None:
        await serve_job_calls(frames, first, self.answer, STALL_TIMEOUT)

    async def answer(self, call: JobCall) -> JobReply:
        """Answer one call; a member that is not the job primary replies with the primary's address."""
        if self.settings.orders != ORDERS_BY_CALL:
            return JobReply(call.number, JobOutcome.REJECTED, 0, 0, "")
        term = self._active_term()
        if term is None:
            return self._not_primary(call)
        return await answer_call(term, call, self._wake)

    def _not_primary(self, call: JobCall) -> JobReply:
        member = self.consensus.member
        primary = member.primary()
        is_other = primary is not None and primary.id != member.member.id
        address = f"{primary.host}:{primary.port}" if primary is not None and is_other else ""
        return JobReply(call.number, JobOutcome.NOT_PRIMARY, 0, 0, address)
