"""Takes roll-outs from step to step while this controller is the primary, by the votes of the routers.

It notes which versions serve, takes the votes of the routers that its claim
has named it to, and commits the next step or the verdict. What it knows beside
the committed state lives as long as one epoch: a new primary claims the votes,
and has all of them once each router has voted again.
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
from sparloom.rollouts.evidence import VOTE_VALID, VoteCollector
from sparloom.rollouts.exposure import is_watcher
from sparloom.rollouts.plan import Exposure, Progress, next_update
from sparloom.rollouts.records import RolloutVote
from sparloom.rollouts.updates import ClaimRollouts, NoteVersions
from sparloom.rollouts.verdict import judge
from sparloom.transport import monotonic, wall_clock_ms

from .change_requests import StateUpdate
from .configuration_writer import Acknowledged, Deadline
from .rollout_updates import judge_rollout, pool_of

if TYPE_CHECKING:
    from sparloom.codec import Record
    from sparloom.rollouts import Rollout
    from sparloom.rollouts.updates import RolloutUpdate
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService
    from .endpoint_poller import EndpointPoller

STEP_INTERVAL = timedelta(milliseconds=200)
# What is known of a roll-out under way is logged so often, and at each step.
LOG_INTERVAL = timedelta(seconds=1)
# The rate of requests is taken over so long.
RATE_TIME = timedelta(seconds=2)
# A router is out of touch that has missed so many of its votes.
VALID_INTERVALS = 3
MILLISECOND = timedelta(milliseconds=1)


@define(slots=True, eq=False)
class RolloutWatch:
    """What one epoch of this primary knows of a roll-out under way.

    Attributes
    ----------
    seen_at
        When it was first seen in this epoch, on the monotonic clock.
    inherited
        Whether it was ordered before this epoch: then only the wall clock tells how long ago.
    collector
        The votes.
    step, share, step_at
        The step and share that were committed last, and when that was first seen.
    sent
        Requests of the service at some moments of late, the newest last.
    lacking
        What is still to be seen of the version; "" where nothing is.
    logged_at
        When that was logged last.
    """

    seen_at: timedelta
    inherited: bool
    collector: VoteCollector
    step: Step
    share: float
    step_at: timedelta
    sent: deque[tuple[timedelta, int]] = field(factory=deque)
    lacking: str = ""
    logged_at: timedelta = timedelta(0)

    def note_step(self, rollout: Rollout, now: timedelta) -> None:
        """Note the committed step."""
        if (rollout.step, rollout.share) != (self.step, self.share):
            self.step, self.share, self.step_at = rollout.step, rollout.share, now

    def sent_per_s(self, now: timedelta, sent: int) -> float:
        """Return the requests of the service in a second, of late; ``sent`` is their sum by now."""
        self.sent.append((now, sent))
        while self.sent[0][0] < now - RATE_TIME:
            self.sent.popleft()
        began_at, before = self.sent[0]
        lasted = (now - began_at).total_seconds()
        return (sent - before) / lasted if lasted else 0.0


@define(slots=True, eq=False)
class RolloutTerm:
    """What one epoch of this primary knows: the roll-outs under way, by number.

    Attributes
    ----------
    epoch
        The epoch.
    next_number
        Roll-outs below this number were ordered before the epoch.
    watches
        What is known of each roll-out under way.
    """

    epoch: int
    next_number: int
    watches: dict[int, RolloutWatch] = field(factory=dict)

    def watch(self, rollout: Rollout, now: timedelta) -> RolloutWatch:
        """Return what is known of a roll-out under way."""
        found = self.watches.get(rollout.number)
        if found is None:
            inherited = rollout.number < self.next_number
            collector = VoteCollector(rollout.number)
            found = self.watches[rollout.number] = RolloutWatch(
                now, inherited, collector, rollout.step, rollout.share, step_at=now
            )
        found.note_step(rollout, now)
        return found


class RolloutService(Service):
    """The roll-outs of this controller.

    Attributes
    ----------
    term : RolloutTerm or None
        The present epoch; None while this controller is not the primary.
    """

    def __init__(
        self, settings: Settings, consensus: ConsensusService, writer: ConfigurationWriter, poller: EndpointPoller
    ) -> None:
        super().__init__()
        self.settings, self.consensus, self.writer, self.poller = settings, consensus, writer, poller
        self.exposure = Exposure(settings.rollouts.exposure_share, settings.rollouts.exposure_slack)
        self.term: RolloutTerm | None = None

    # -- what is known --------------------------------------------------------------
    def _present_term(self) -> RolloutTerm | None:
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self.term = None
        elif self.term is None or self.term.epoch != epoch:
            state = self._state()
            self.term = RolloutTerm(epoch, state.next_number if state is not None else sys.maxsize)
        return self.term

    def _state(self) -> RolloutsState | None:
        """The committed state of the roll-outs; None before there is a configuration."""
        committed = self.writer.committed
        if committed is None or not committed.state.revision:
            return None
        return committed.state.rollouts or RolloutsState()

    def receive(self, record: Record) -> bool:
        """Take a router's vote; return whether the record was one."""
        if not isinstance(record, RolloutVote):
            return False
        term, state = self._present_term(), self._state()
        if term is not None and state is not None:
            rollout = state.find(record.number)
            if rollout is not None and rollout.is_serving:
                term.watch(rollout, monotonic()).collector.on_vote(monotonic(), record)
        return True

    def votes(self) -> dict[str, Any]:
        """Return the votes about roll-outs under way, as the beliefs show them."""
        now, term = monotonic(), self.term
        watches = term.watches if term is not None else {}
        return {
            str(number): {
                "watchers": sum(1 for _ in watch.collector.in_touch(now)),
                "sent": sum(vote.sent for vote in watch.collector.votes()),
                "exposed": sum(vote.exposed for vote in watch.collector.votes()),
                "lacking": watch.lacking,
            }
            for number, watch in watches.items()
        }

    def _routers(self) -> set[tuple[str, int]]:
        """The runs of routers that are believed up."""
        return {(peer.key, peer.instance_id) for peer in self.consensus.swim.alive() if peer.role == ROUTER}

    # -- what is done ---------------------------------------------------------------
    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(STEP_INTERVAL.total_seconds())
            term, state = self._present_term(), self._state()
            if term is None or state is None:
                continue
            update = self._next_update(term, state)
            if update is not None and await self._commit(update):
                logging.info("rollouts: committed update=%s", update)

    def _next_update(self, term: RolloutTerm, state: RolloutsState) -> RolloutUpdate | None:
        """The next thing to commit: versions that are new here, the claim of the votes, a step or a verdict."""
        unknown = self._unknown_versions(state)
        if unknown:
            return NoteVersions(unknown)
        under_way = state.under_way()
        if under_way and state.collector != self.consensus.key:
            return ClaimRollouts(self.consensus.key)
        for rollout in under_way:
            update = self._update_of(term, state, rollout)
            if update is not None:
                return update
        return None

    def _unknown_versions(self, state: RolloutsState) -> dict[str, tuple[str, ...]]:
        """The versions of services that are listed for the first time; without those that are on trial."""
        found = {}
        for service, versions in self.poller.versions.items():
            newest = state.newest.get(service)
            first = sorted(versions - ({newest.target} if newest else set()))
            if first and service not in state.first_versions:
                found[service] = tuple(first)
        return found

    def _update_of(self, term: RolloutTerm, state: RolloutsState, rollout: Rollout) -> RolloutUpdate | None:
        now = monotonic()
        watch = term.watch(rollout, now)
        progress = self._progress(watch, state, rollout)
        watch.lacking = progress.judgement.reason
        update = next_update(rollout, progress, self.exposure)
        if update is not None or now >= watch.logged_at + LOG_INTERVAL:
            watch.logged_at = now
            _log_progress(rollout, watch, progress)
        return update

    def _progress(self, watch: RolloutWatch, state: RolloutsState, rollout: Rollout) -> Progress:
        now, collector, routers = monotonic(), watch.collector, self._routers()
        collector.valid = max(VOTE_VALID, report_interval(len(routers)) * VALID_INTERVALS)
        watchers = {key for key in routers if is_watcher(rollout.number, key[0], len(routers))}
        target = pool_of(state, rollout.service, rollout.target)
        listed = self.poller.last.runners if self.poller.last is not None else []
        runners = [runner for runner in listed if runner.service == target and not runner.draining]
        votes = collector.votes()
        sent = sum(vote.sent for vote in votes)
        return Progress(
            elapsed=self._elapsed(watch, rollout, now),
            step_age=now - watch.step_at,
            runners=len(runners),
            slots=max((runner.slots for runner in runners), default=0),
            sent=sent,
            exposed=sum(vote.exposed for vote in votes),
            sent_per_s=watch.sent_per_s(now, sent),
            in_flight=sum(vote.in_flight for _, vote in collector.in_touch(now)),
            watched=collector.has_majority(now, watchers),
            base_is_empty=collector.base_is_empty(now, Step.FULL, routers),
            judgement=judge(collector.evidence(now), len(runners), rollout.step > Step.PROBE),
        )

    @staticmethod
    def _elapsed(watch: RolloutWatch, rollout: Rollout, now: timedelta) -> timedelta:
        """Time since the order: what this epoch has seen of it, or what the wall clock says where that is not all."""
        if not watch.inherited:
            return now - watch.seen_at
        by_wall_clock = (wall_clock_ms() - rollout.ordered_at_ms) * MILLISECOND
        elapsed: timedelta = max(now - watch.seen_at, by_wall_clock)
        return elapsed

    async def _commit(self, update: RolloutUpdate) -> bool:
        """Commit an update; return whether it is known to be committed."""
        outcome = await self.writer.change(StateUpdate(update, judge_rollout), Deadline.after_body(0))
        return isinstance(outcome, Acknowledged)


def _log_progress(rollout: Rollout, watch: RolloutWatch, progress: Progress) -> None:
    loaded = watch.collector.loaded_answers()
    logging.info(
        "rollouts: watching number=%d step=%s sent=%d exposed=%d loaded=%d loaded_failed=%d watched=%s lacking=%r",
        rollout.number,
        rollout.step.name.lower(),
        progress.sent,
        progress.exposed,
        loaded.answers,
        loaded.failed,
        progress.watched,
        watch.lacking,
    )
