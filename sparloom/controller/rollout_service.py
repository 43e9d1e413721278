"""Advances rollouts step by step while this controller is the primary, according to the routers' votes.

The service records the versions that serve, claims and collects the routers'
votes, and commits the next step or the verdict. Everything apart from the
committed state is kept for one epoch only: a new primary claims the votes, and
has the full counts once each router has voted again.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from absl import logging
from attrs import define, field
from mode import Service

from sparloom.membership import ROUTER, report_interval
from sparloom.rollouts import RolloutsState, Step
from sparloom.rollouts.evidence import VOTE_TTL, VoteCollector
from sparloom.rollouts.exposure import is_watcher
from sparloom.rollouts.plan import ExposureLimit, Progress, next_update
from sparloom.rollouts.records import RolloutVote
from sparloom.rollouts.updates import ClaimRollouts, RecordFirstVersions
from sparloom.rollouts.verdict import evaluate_votes
from sparloom.transport import monotonic, wall_clock_ms

from .change_requests import StateUpdate
from .configuration_writer import Acknowledged, Deadline
from .rollout_updates import evaluate_rollout_update, pool_of

if TYPE_CHECKING:
    from sparloom.codec import Record
    from sparloom.rollouts import Rollout
    from sparloom.rollouts.updates import RolloutUpdate
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService
    from .endpoint_poller import EndpointPoller

EVALUATION_INTERVAL = timedelta(milliseconds=200)
# Interval at which the progress of each rollout is logged, apart from the log line at each update.
LOG_INTERVAL = timedelta(seconds=1)
# Window over which the rate of requests is measured.
RATE_WINDOW = timedelta(seconds=2)
# Number of vote intervals without a vote after which a router no longer counts as live.
VOTE_TTL_INTERVALS = 3
MILLISECOND = timedelta(milliseconds=1)


@define(slots=True, eq=False)
class RolloutMonitor:
    """The state that one epoch of this primary keeps for a rollout in progress.

    Attributes
    ----------
    first_seen_at
        When the rollout was first seen in this epoch, on the monotonic clock.
    inherited
        Whether it was ordered before this epoch; its age is then known from the wall clock only.
    collector
        Collects the votes.
    step, traffic_fraction, step_started_at
        The last committed step and share, and when they were first seen.
    sent
        Samples of the total number of requests in the rate window, newest last.
    missing
        The evidence that is still missing, or the fault for a rejection; "" if there is none.
    last_logged_at
        When the progress was last logged.
    """

    first_seen_at: timedelta
    inherited: bool
    collector: VoteCollector
    step: Step
    traffic_fraction: float
    step_started_at: timedelta
    sent: deque[tuple[timedelta, int]] = field(factory=deque)
    missing: str = ""
    last_logged_at: timedelta = timedelta(0)

    def update_step(self, rollout: Rollout, now: timedelta) -> None:
        """Record the committed step and share."""
        if (rollout.step, rollout.traffic_fraction) != (self.step, self.traffic_fraction):
            self.step, self.traffic_fraction, self.step_started_at = rollout.step, rollout.traffic_fraction, now

    def sent_per_s(self, now: timedelta, sent: int) -> float:
        """Return the recent requests of the service per second, given their total number so far."""
        self.sent.append((now, sent))
        while self.sent[0][0] < now - RATE_WINDOW:
            self.sent.popleft()
        window_start, sent_before = self.sent[0]
        duration_s = (now - window_start).total_seconds()
        return (sent - sent_before) / duration_s if duration_s else 0.0


@define(slots=True, eq=False)
class RolloutTerm:
    """The state of one epoch of this primary: the monitors of the rollouts in progress.

    Attributes
    ----------
    epoch
        The epoch.
    next_number
        Rollouts with lower numbers were ordered before this epoch.
    monitors
        The monitor of each rollout, by number.
    """

    epoch: int
    next_number: int
    monitors: dict[int, RolloutMonitor] = field(factory=dict)

    def monitor_of(self, rollout: Rollout, now: timedelta) -> RolloutMonitor:
        """Return the monitor of a rollout in progress, updated to its committed step."""
        found = self.monitors.get(rollout.number)
        if found is None:
            inherited = rollout.number < self.next_number
            collector = VoteCollector(rollout.number)
            found = self.monitors[rollout.number] = RolloutMonitor(
                now, inherited, collector, rollout.step, rollout.traffic_fraction, step_started_at=now
            )
        found.update_step(rollout, now)
        return found


class RolloutService(Service):
    """Runs the rollouts while this controller is the primary.

    Attributes
    ----------
    term : RolloutTerm or None
        The state of the current epoch; None while this controller is not the primary.
    """

    def __init__(
        self, settings: Settings, consensus: ConsensusService, writer: ConfigurationWriter, poller: EndpointPoller
    ) -> None:
        super().__init__()
        self.settings, self.consensus, self.writer, self.poller = settings, consensus, writer, poller
        self.exposure_limit = ExposureLimit(settings.rollouts.exposure_share, settings.rollouts.exposure_slack)
        self.term: RolloutTerm | None = None

    # -- state and votes --------------------------------------------------------------
    def _current_term(self) -> RolloutTerm | None:
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self.term = None
        elif self.term is None or self.term.epoch != epoch:
            state = self._state()
            self.term = RolloutTerm(epoch, state.next_number if state is not None else sys.maxsize)
        return self.term

    def _state(self) -> RolloutsState | None:
        """The committed state of the rollouts; None before the first configuration."""
        committed = self.writer.committed
        if committed is None or not committed.state.revision:
            return None
        return committed.state.rollouts or RolloutsState()

    def receive(self, record: Record) -> bool:
        """Handle a router's vote; return whether the record was a vote."""
        if not isinstance(record, RolloutVote):
            return False
        term, state = self._current_term(), self._state()
        if term is not None and state is not None:
            rollout = state.find_rollout(record.number)
            if rollout is not None and rollout.is_serving:
                term.monitor_of(rollout, monotonic()).collector.on_vote(monotonic(), record)
        return True

    def votes(self) -> dict[str, Any]:
        """Return a summary of the votes on each rollout in progress, for the ``/-/beliefs`` call."""
        now, term = monotonic(), self.term
        monitors = term.monitors if term is not None else {}
        return {
            str(number): {
                "watchers": sum(1 for _ in monitor.collector.live_votes(now)),
                "sent": sum(vote.sent for vote in monitor.collector.votes()),
                "exposed": sum(vote.exposed for vote in monitor.collector.votes()),
                "lacking": monitor.missing,
            }
            for number, monitor in monitors.items()
        }

    def _routers(self) -> set[tuple[str, int]]:
        """The router processes that membership considers alive."""
        return {(peer.key, peer.instance_id) for peer in self.consensus.swim.alive() if peer.role == ROUTER}

    # -- updates ------------------------------------------------------------------------
    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EVALUATION_INTERVAL.total_seconds())
            term, state = self._current_term(), self._state()
            if term is None or state is None:
                continue
            update = self._next_update(term, state)
            if update is not None and await self._commit(update):
                logging.info("rollouts: committed update=%s", update)

    def _next_update(self, term: RolloutTerm, state: RolloutsState) -> RolloutUpdate | None:
        """The next update to commit: new first versions, the claim of the votes, a step or a verdict."""
        unrecorded = self._unrecorded_versions(state)
        if unrecorded:
            return RecordFirstVersions(unrecorded)
        active = state.active_rollouts()
        if active and state.collector != self.consensus.key:
            return ClaimRollouts(self.consensus.key)
        for rollout in active:
            update = self._next_rollout_update(term, state, rollout)
            if update is not None:
                return update
        return None

    def _unrecorded_versions(self, state: RolloutsState) -> dict[str, tuple[str, ...]]:
        """The versions of services without recorded first versions, except for the targets of rollouts."""
        found = {}
        for service, versions in self.poller.versions.items():
            newest = state.newest.get(service)
            first = sorted(versions - ({newest.target} if newest else set()))
            if first and service not in state.first_versions:
                found[service] = tuple(first)
        return found

    def _next_rollout_update(self, term: RolloutTerm, state: RolloutsState, rollout: Rollout) -> RolloutUpdate | None:
        now = monotonic()
        monitor = term.monitor_of(rollout, now)
        progress = self._progress(monitor, state, rollout)
        monitor.missing = progress.vote_result.reason
        update = next_update(rollout, progress, self.exposure_limit)
        if update is not None or now >= monitor.last_logged_at + LOG_INTERVAL:
            monitor.last_logged_at = now
            _log_progress(rollout, monitor, progress)
        return update

    def _progress(self, monitor: RolloutMonitor, state: RolloutsState, rollout: Rollout) -> Progress:
        now, collector, routers = monotonic(), monitor.collector, self._routers()
        collector.vote_ttl = max(VOTE_TTL, report_interval(len(routers)) * VOTE_TTL_INTERVALS)
        watchers = {key for key in routers if is_watcher(rollout.number, key[0], len(routers))}
        target = pool_of(state, rollout.service, rollout.target)
        listed = self.poller.last_published.runners if self.poller.last_published is not None else []
        runners = [runner for runner in listed if runner.service == target and not runner.draining]
        votes = collector.votes()
        sent = sum(vote.sent for vote in votes)
        return Progress(
            elapsed=self._elapsed(monitor, rollout, now),
            step_age=now - monitor.step_started_at,
            runners=len(runners),
            slots=max((runner.slots for runner in runners), default=0),
            sent=sent,
            exposed=sum(vote.exposed for vote in votes),
            sent_per_s=monitor.sent_per_s(now, sent),
            in_flight=sum(vote.in_flight for _, vote in collector.live_votes(now)),
            has_quorum=collector.has_quorum(now, watchers),
            base_drained=collector.is_base_drained(now, Step.FULL, routers),
            vote_result=evaluate_votes(collector.evidence(now), len(runners), rollout.step > Step.PROBE),
        )

    @staticmethod
    def _elapsed(monitor: RolloutMonitor, rollout: Rollout, now: timedelta) -> timedelta:
        """Time since the order: the time in this epoch; if inherited, at least the time by the wall clock."""
        if not monitor.inherited:
            return now - monitor.first_seen_at
        wall_clock_elapsed = (wall_clock_ms() - rollout.ordered_at_ms) * MILLISECOND
        elapsed: timedelta = max(now - monitor.first_seen_at, wall_clock_elapsed)
        return elapsed

    async def _commit(self, update: RolloutUpdate) -> bool:
        """Commit an update; return whether it is known to be committed."""
        outcome = await self.writer.change(StateUpdate(update, evaluate_rollout_update), Deadline.after_body(0))
        return isinstance(outcome, Acknowledged)


def _log_progress(rollout: Rollout, monitor: RolloutMonitor, progress: Progress) -> None:
    loaded = monitor.collector.loaded_answers()
    logging.info(
        "rollouts: watching number=%d step=%s sent=%d exposed=%d loaded=%d loaded_failed=%d watched=%s lacking=%r",
        rollout.number,
        rollout.step.name.lower(),
        progress.sent,
        progress.exposed,
        loaded.answers,
        loaded.failed,
        progress.has_quorum,
        monitor.missing,
    )
