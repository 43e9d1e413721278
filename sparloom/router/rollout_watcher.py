"""A router as watcher of roll-outs: sends a part of its requests to the new version, and votes on what it sees."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.membership import report_interval
from sparloom.rollouts import Step
from sparloom.rollouts.evidence import CellKey, Counts, tallies_of
from sparloom.rollouts.exposure import (
    LEASE,
    ExposureTokens,
    first_tokens,
    focus_runner,
    is_watcher,
    own_share,
)
from sparloom.rollouts.pace import PaceReference, pace_of
from sparloom.rollouts.records import RolloutVote
from sparloom.transport import monotonic

from .attempt import AttemptEnd

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sparloom.configuration import Route
    from sparloom.configuration.rollouts import ServiceVersions, Trial

    from .attempt import Attempt
    from .backends import Backend
    from .membership_service import MembershipService
    from .router_state import RouterState

# Of the slots of a runner so many must be taken for an answer to count as one under load,
LOADED_PART = 0.6
# and no more than so many for its pace to be compared.
UNLOADED_PART = 0.25
# In one datagram.
MAXIMUM_TALLIES = 200


@define(slots=True)
class TrialWatch:
    """What this router knows of one roll-out.

    Attributes
    ----------
    trial
        The roll-out as the configuration in force has it.
    tokens
        For requests that go to the new version.
    step_at
        When its present step came into force here.
    sent, exposed
        Requests that were sent to the service, and those that went to the new version.
    votes
        How often this router has voted.
    tallies
        The answers.
    """

    trial: Trial
    tokens: ExposureTokens
    step_at: timedelta
    sent: int = 0
    exposed: int = 0
    votes: int = 0
    tallies: dict[CellKey, Counts] = field(factory=dict)

    def follow(self, trial: Trial, now: timedelta) -> None:
        """Go by the roll-out as another configuration has it."""
        if (trial.step, trial.share) != (self.trial.step, self.trial.share):
            self.step_at = now
        self.trial = trial

    def add(self, key: CellKey, counts: Counts) -> None:
        """Count answers."""
        self.tallies[key] = self.tallies.get(key, Counts()) + counts


class RolloutWatcher:
    """This router's part of all roll-outs.

    Attributes
    ----------
    watches: the roll-outs under way, by service.
    references: the old versions' paces, by service.
    configuration_epoch: gives the epoch of the configuration in force, which goes with each vote.
    """

    def __init__(
        self, state: RouterState, membership: MembershipService, configuration_epoch: Callable[[], int]
    ) -> None:
        self._state, self._membership, self.configuration_epoch = state, membership, configuration_epoch
        self.watches: dict[str, TrialWatch] = {}
        self.references: dict[str, PaceReference] = {}
        self._voted_at = timedelta(0)

    # -- the configuration ----------------------------------------------------------
    def on_configuration(self, versions: Mapping[str, ServiceVersions]) -> None:
        """Go by the roll-outs of another configuration."""
        now = monotonic()
        trials = {service: found.trial for service, found in versions.items() if found.trial is not None}
        watches: dict[str, TrialWatch] = {}
        for service, trial in trials.items():
            watch = self.watches.get(service)
            if watch is None or watch.trial.number != trial.number:
                watch = TrialWatch(trial, self._new_tokens(), now)
            watch.follow(trial, now)
            watches[service] = watch
        self.watches = watches

    def _new_tokens(self) -> ExposureTokens:
        slack = self._state.settings.rollouts.exposure_slack
        return ExposureTokens(self._state.random, first_tokens(slack, self._state.fleet_size.divisor))

    # -- exposure -------------------------------------------------------------------
    def on_request(self, service: str, route: str) -> None:
        """A request of a service is about to be sent for the first time."""
        watch = self.watches.get(service)
        if watch is None:
            return
        routers = self._state.fleet_size.divisor
        if is_watcher(watch.trial.number, self._state.key, routers):
            watch.tokens.on_request(route, own_share(watch.trial.share, routers))

    def trial_backends(self, service: str, route: str, now: timedelta) -> tuple[Backend, ...]:
        """Return the backends of the new version that a request is to go to; none where it goes to the old one.

        A token is taken for it; one that isn't made use of is given back by ``not_exposed``.
        """
        watch = self.watches.get(service)
        if watch is None or watch.trial.step == Step.FULL or self._state.configuration_age(now) >= LEASE:
            return ()
        backends = self._state.backends.on_trial(service)
        if watch.trial.step == Step.LOAD:
            backends = self._focus(watch, backends, now)
        elif watch.trial.step == Step.PROBE and backends:
            # Affinity could send all to one runner, of which nobody can tell whether it is the version that is bad.
            backends = (self._state.random.choice(backends),)
        share = own_share(watch.trial.share, self._state.fleet_size.divisor)
        return backends if backends and watch.tokens.take(route, share) else ()

    def _focus(self, watch: TrialWatch, backends: tuple[Backend, ...], now: timedelta) -> tuple[Backend, ...]:
        """The one runner that is kept busy now; none while all of its slots are taken."""
        number, age = watch.trial.number, now - watch.step_at
        focused = focus_runner([backend.id for backend in backends], number, age)
        return tuple(
            backend
            for backend in backends
            if backend.id == focused and self._state.in_flight.count(backend.id, now) < max(1, backend.slots)
        )

    def not_exposed(self, service: str) -> None:
        """A request could not go to the new version after all."""
        watch = self.watches.get(service)
        if watch is not None:
            watch.tokens.give_back()

    # -- answers --------------------------------------------------------------------
    def on_sent(self, backend: Backend) -> None:
        """A request is sent to a backend."""
        watch = self.watches.get(backend.service)
        if watch is not None:
            watch.sent += 1
            watch.exposed += backend.pool == watch.trial.pool

    def on_ended(self, attempt: Attempt, route: Route, ended: AttemptEnd) -> None:
        """An attempt has ended."""
        backend = attempt.backend
        watch = self.watches.get(backend.service)
        on_trial = watch is not None and backend.pool == watch.trial.pool
        slow = None if self._is_kept_busy(watch, attempt, on_trial) else self._is_slow(attempt, route, on_trial)
        if watch is None or ended is AttemptEnd.NOT_RUN:
            return
        answered = ended is not AttemptEnd.BROKEN_OFF_HERE
        if not answered and slow is None:
            return
        loaded = attempt.in_flight_before >= max(1, backend.slots) * LOADED_PART
        key = CellKey(route.name, on_trial, loaded, backend.number if on_trial else 0)
        watch.add(key, Counts(int(answered), int(ended is AttemptEnd.FAILED), int(slow is not None), int(bool(slow))))

    @staticmethod
    def _is_kept_busy(watch: TrialWatch | None, attempt: Attempt, on_trial: bool) -> bool:
        """Whether the runner of an answer was being kept busy, or may have been: its pace tells nothing."""
        if watch is None or not on_trial:
            return False
        return watch.trial.step == Step.LOAD or attempt.asked_at < watch.step_at

    def _is_slow(self, attempt: Attempt, route: Route, on_trial: bool) -> bool | None:
        """Whether an answer's pace is several times that of the old version; None where that can't be said.

        A busy runner is slower, and a cold one too, whatever its version.
        """
        backend = attempt.backend
        if attempt.in_flight_before > backend.slots * UNLOADED_PART or backend.is_cold(monotonic()):
            return None
        pace = pace_of(
            attempt.asked_at,
            attempt.first_part_at,
            attempt.last_part_at,
            attempt.parts,
            streamed=route.kind == "streaming",
        )
        if pace is None:
            return None
        reference = self.references.setdefault(backend.service, PaceReference())
        slow = reference.is_slow(route.name, pace)
        if not on_trial:
            reference.add(route.name, pace)
        return slow

    # -- votes ----------------------------------------------------------------------
    def tick(self) -> None:
        """Vote, if it is time."""
        now = monotonic()
        if self.watches and now - self._voted_at >= report_interval(self._state.fleet_size.divisor):
            self._voted_at = now
            for service, watch in self.watches.items():
                if watch.trial.collector:
                    self._membership.datagrams.send(watch.trial.collector, self._vote(service, watch))

    def _vote(self, service: str, watch: TrialWatch) -> RolloutVote:
        watch.votes += 1
        backends = [backend for backend in self._state.backends.by_id.values() if backend.service == service]
        base = sum(backend.open_calls for backend in backends if backend.pool != watch.trial.pool)
        return RolloutVote(
            node=self._state.key,
            instance_id=self._state.instance_id,
            number=watch.trial.number,
            epoch=self.configuration_epoch(),
            step=watch.trial.step,
            sequence=watch.votes,
            sent=watch.sent,
            exposed=watch.exposed,
            in_flight=sum(backend.open_calls for backend in backends),
            base_in_flight=base,
            tallies=tallies_of(watch.tallies, MAXIMUM_TALLIES),
        )
