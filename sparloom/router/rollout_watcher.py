"""Watches rollouts in a router: sends a share of the requests to the new version, and votes on the answers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.membership import report_interval
from sparloom.rollouts import Step
from sparloom.rollouts.evidence import Counts, TallyKey, to_tallies
from sparloom.rollouts.exposure import (
    EXPOSURE_LEASE,
    ExposureTokens,
    initial_extra_tokens,
    is_watcher,
    loaded_runner,
    watcher_fraction,
)
from sparloom.rollouts.pace import PaceBaseline, measure_pace
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

# Fraction of a runner's slots in use from which an answer counts as one under load.
LOADED_SLOT_FRACTION = 0.6
# Fraction of a runner's slots in use up to which an answer's pace is compared.
UNLOADED_SLOT_FRACTION = 0.25
# Maximum number of tallies in one vote, which must fit into one datagram.
MAXIMUM_TALLIES_PER_VOTE = 200


@define(slots=True)
class TrialWatch:
    """This router's state for one rollout.

    Attributes
    ----------
    trial
        The rollout in the configuration in force.
    tokens
        The token bucket for requests to the new version.
    step_started_at
        When the present step and share came into force at this router.
    sent, exposed
        Number of requests sent to the service, and of those sent to the new version.
    vote_count
        Number of votes sent by this router.
    tallies
        The counts of answers.
    """

    trial: Trial
    tokens: ExposureTokens
    step_started_at: timedelta
    sent: int = 0
    exposed: int = 0
    vote_count: int = 0
    tallies: dict[TallyKey, Counts] = field(factory=dict)

    def update_trial(self, trial: Trial, now: timedelta) -> None:
        """Apply the rollout in a new configuration."""
        if (trial.step, trial.traffic_fraction) != (self.trial.step, self.trial.traffic_fraction):
            self.step_started_at = now
        self.trial = trial

    def add(self, key: TallyKey, counts: Counts) -> None:
        """Add counts of answers."""
        self.tallies[key] = self.tallies.get(key, Counts()) + counts


class RolloutWatcher:
    """This router's part in all rollouts.

    Attributes
    ----------
    watches: the state of each rollout in progress, by service.
    pace_baselines: the paces of the old versions, by service.
    configuration_epoch: returns the epoch of the configuration in force, which is part of each vote.
    """

    def __init__(
        self, state: RouterState, membership: MembershipService, configuration_epoch: Callable[[], int]
    ) -> None:
        self._state, self._membership, self.configuration_epoch = state, membership, configuration_epoch
        self.watches: dict[str, TrialWatch] = {}
        self.pace_baselines: dict[str, PaceBaseline] = {}
        self._last_voted_at = timedelta(0)

    # -- configuration ----------------------------------------------------------------
    def on_configuration(self, versions: Mapping[str, ServiceVersions]) -> None:
        """Apply the rollouts in a new configuration."""
        now = monotonic()
        trials = {service: found.trial for service, found in versions.items() if found.trial is not None}
        watches: dict[str, TrialWatch] = {}
        for service, trial in trials.items():
            watch = self.watches.get(service)
            if watch is None or watch.trial.number != trial.number:
                watch = TrialWatch(trial, self._create_tokens(), now)
            watch.update_trial(trial, now)
            watches[service] = watch
        self.watches = watches

    def _create_tokens(self) -> ExposureTokens:
        slack = self._state.settings.rollouts.exposure_slack
        return ExposureTokens(self._state.random, initial_extra_tokens(slack, self._state.fleet_size.divisor))

    # -- exposure -------------------------------------------------------------------
    def on_request(self, service: str, route: str) -> None:
        """Count a request of a service before its first attempt."""
        watch = self.watches.get(service)
        if watch is None:
            return
        routers = self._state.fleet_size.divisor
        if is_watcher(watch.trial.number, self._state.key, routers):
            watch.tokens.on_request(route, watcher_fraction(watch.trial.traffic_fraction, routers))

    def trial_backends(self, service: str, route: str, now: timedelta) -> tuple[Backend, ...]:
        """Return the backends of the new version for a request; none if it must go to the old version.

        This takes a token. ``release_exposure_token`` returns it if the request can't be sent to any of them.
        """
        watch = self.watches.get(service)
        if watch is None or watch.trial.step == Step.FULL or self._state.configuration_age(now) >= EXPOSURE_LEASE:
            return ()
        backends = self._state.backends.on_trial(service)
        if watch.trial.step == Step.LOAD:
            backends = self._loaded_backend(watch, backends, now)
        elif watch.trial.step == Step.PROBE and backends:
            # Affinity could send all requests to one runner, whose faults can't be told from faults of the version.
            backends = (self._state.random.choice(backends),)
        traffic_fraction = watcher_fraction(watch.trial.traffic_fraction, self._state.fleet_size.divisor)
        return backends if backends and watch.tokens.try_consume(route, traffic_fraction) else ()

    def _loaded_backend(self, watch: TrialWatch, backends: tuple[Backend, ...], now: timedelta) -> tuple[Backend, ...]:
        """The runner that the load step fills at present; none while all of its slots are in use."""
        number, age = watch.trial.number, now - watch.step_started_at
        loaded_id = loaded_runner([backend.id for backend in backends], number, age)
        return tuple(
            backend
            for backend in backends
            if backend.id == loaded_id and self._state.in_flight.count(backend.id, now) < max(1, backend.slots)
        )

    def release_exposure_token(self, service: str) -> None:
        """Return the token of a request that could not be sent to the new version."""
        watch = self.watches.get(service)
        if watch is not None:
            watch.tokens.refund()

    # -- answers --------------------------------------------------------------------
    def on_sent(self, backend: Backend) -> None:
        """Count a request that is sent to a backend."""
        watch = self.watches.get(backend.service)
        if watch is not None:
            watch.sent += 1
            watch.exposed += backend.pool == watch.trial.pool

    def on_ended(self, attempt: Attempt, route: Route, ended: AttemptEnd) -> None:
        """Count the outcome of an attempt."""
        backend = attempt.backend
        watch = self.watches.get(backend.service)
        on_trial = watch is not None and backend.pool == watch.trial.pool
        slow = None if self._has_load_step_pace(watch, attempt, on_trial) else self._is_slow(attempt, route, on_trial)
        if watch is None or ended is AttemptEnd.NOT_RUN:
            return
        answered = ended is not AttemptEnd.ABANDONED
        if not answered and slow is None:
            return
        loaded = attempt.in_flight_before >= max(1, backend.slots) * LOADED_SLOT_FRACTION
        key = TallyKey(route.name, on_trial, loaded, backend.number if on_trial else 0)
        watch.add(key, Counts(int(answered), int(ended is AttemptEnd.FAILED), int(slow is not None), int(bool(slow))))

    @staticmethod
    def _has_load_step_pace(watch: TrialWatch | None, attempt: Attempt, on_trial: bool) -> bool:
        """Whether the load step may have filled the answer's runner, so that its pace must not be compared."""
        if watch is None or not on_trial:
            return False
        return watch.trial.step == Step.LOAD or attempt.sent_at < watch.step_started_at

    def _is_slow(self, attempt: Attempt, route: Route, on_trial: bool) -> bool | None:
        """Whether an answer is slow compared with the old version; None if they can't be compared.

        Loaded runners and cold ones are slower whatever their version, so their answers aren't compared.
        """
        backend = attempt.backend
        if attempt.in_flight_before > backend.slots * UNLOADED_SLOT_FRACTION or backend.is_cold(monotonic()):
            return None
        pace = measure_pace(
            attempt.sent_at,
            attempt.first_chunk_at,
            attempt.last_chunk_at,
            attempt.chunks,
            is_stream=route.kind == "streaming",
        )
        if pace is None:
            return None
        baseline = self.pace_baselines.setdefault(backend.service, PaceBaseline())
        slow = baseline.is_slow(route.name, pace)
        if not on_trial:
            baseline.add(route.name, pace)
        return slow

    # -- votes ----------------------------------------------------------------------
    def tick(self) -> None:
        """Send votes to the collectors if the report interval has passed."""
        now = monotonic()
        if self.watches and now - self._last_voted_at >= report_interval(self._state.fleet_size.divisor):
            self._last_voted_at = now
            for service, watch in self.watches.items():
                if watch.trial.collector:
                    self._membership.datagrams.send(watch.trial.collector, self._next_vote(service, watch))

    def _next_vote(self, service: str, watch: TrialWatch) -> RolloutVote:
        watch.vote_count += 1
        backends = [backend for backend in self._state.backends.by_id.values() if backend.service == service]
        base_in_flight = sum(backend.open_calls for backend in backends if backend.pool != watch.trial.pool)
        return RolloutVote(
            node=self._state.key,
            instance_id=self._state.instance_id,
            number=watch.trial.number,
            epoch=self.configuration_epoch(),
            step=watch.trial.step,
            sequence=watch.vote_count,
            sent=watch.sent,
            exposed=watch.exposed,
            in_flight=sum(backend.open_calls for backend in backends),
            base_in_flight=base_in_flight,
            tallies=to_tallies(watch.tallies, MAXIMUM_TALLIES_PER_VOTE),
        )
