"""Decides the next step of a rollout, for the primary to commit. No I/O.

Most of the duration is spent on observation, since a version may fail only
after some time. A version that is not accepted in time is rolled back before
the operators' deadline: a rollout must not end undecided.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define

from .state import Status, Step
from .updates import AdvanceRollout, EndRollout
from .verdict import Ruling

if TYPE_CHECKING:
    from .state import Rollout
    from .verdict import VoteResult

# Fraction of the allowed exposure share that the probe step uses.
PROBE_EXPOSURE_FRACTION = 0.8
# Fraction of the exposure limit up to which requests may be exposed; the rest covers exposure not yet reported.
EXPOSURE_SAFETY_FRACTION = 0.9
# Fraction of the duration before which a rollout does not advance past the probe step.
MINIMUM_WATCH_FRACTION = 0.4
# Fraction of the duration after which a version that was not accepted is rolled back.
ROLLBACK_FRACTION = 0.9
# Such a version is rolled back no later than this before the end, but not in the first half of the duration.
ROLLBACK_MARGIN = timedelta(milliseconds=1500)
# Fraction of one runner's slots that the load step aims to keep busy.
TARGET_SLOT_UTILIZATION = 0.9
# Upper limit of the share of all requests that the load step uses.
MAXIMUM_LOAD_FRACTION = 0.7
# Minimum duration of the load step.
MINIMUM_LOAD_DURATION = timedelta(milliseconds=2500)
# Time after which the load step falls back to the probe share.
MAXIMUM_LOAD_DURATION = timedelta(milliseconds=3500)
# Share of the new version in the grow step, the last one before it takes all requests.
GROW_FRACTION = 0.5
# Minimum duration of the grow step.
MINIMUM_GROW_DURATION = timedelta(milliseconds=800)


@define(frozen=True, slots=True)
class ExposureLimit:
    """Upper limit of the requests that are sent to a version before it is accepted.

    Attributes
    ----------
    traffic_fraction
        Fraction of the service's requests that may be exposed.
    slack
        Number of requests that may be exposed in addition.
    """

    traffic_fraction: float = 0.1
    slack: float = 50

    @property
    def probe_fraction(self) -> float:
        """The share of the probe step."""
        return self.traffic_fraction * PROBE_EXPOSURE_FRACTION

    def allows(self, sent: float, exposed: float) -> bool:
        """Return whether ``exposed`` of ``sent`` requests are within the limit.

        A margin is left for exposure not yet reported.

        >>> ExposureLimit(0.1, 50).allows(1000, 135), ExposureLimit(0.1, 50).allows(1000, 140)
        (True, False)
        """
        return exposed <= (self.traffic_fraction * sent + self.slack) * EXPOSURE_SAFETY_FRACTION


@define(frozen=True, slots=True)
class Progress:
    """The primary's current view of a rollout.

    Attributes
    ----------
    elapsed
        Time since the rollout was ordered.
    step_age
        Time since the current step and share were committed, as far as this primary knows.
    runners
        Number of listed runners of the new version that are not draining.
    slots
        Concurrent requests of the largest of these runners; 0 if unknown.
    sent, exposed
        Requests of the service since the rollout was ordered, and those of them sent to the new version.
    sent_per_s
        Requests of the service per second.
    in_flight
        Requests in flight at the service's runners.
    has_quorum
        Whether a majority of the watchers has voted recently.
    base_drained
        Whether all routers apply the full step and have no requests in flight to the old version.
    vote_result
        The result of the watchers' votes.
    """

    elapsed: timedelta
    step_age: timedelta
    runners: int
    slots: int
    sent: int
    exposed: int
    sent_per_s: float
    in_flight: int
    has_quorum: bool
    base_drained: bool
    vote_result: VoteResult


def next_update(
    rollout: Rollout, progress: Progress, exposure_limit: ExposureLimit
) -> AdvanceRollout | EndRollout | None:
    """Return the update to commit now; None if the rollout stays as it is."""
    vote_result = progress.vote_result
    if vote_result.ruling is Ruling.REJECTED:
        return EndRollout(rollout.number, Status.ROLLED_BACK, vote_result.reason)
    if rollout.step is Step.FULL:
        if not progress.base_drained:
            return None
        return EndRollout(rollout.number, Status.COMPLETED, Ruling.ACCEPTED.value)
    if _past_rollback_deadline(rollout, progress.elapsed):
        return EndRollout(rollout.number, Status.ROLLED_BACK, _timeout_reason(rollout, progress))
    if rollout.traffic_fraction == 0:
        return _advance(rollout, Step.PROBE, exposure_limit.probe_fraction) if progress.runners else None
    if (
        rollout.step is Step.LOAD
        and progress.step_age >= MAXIMUM_LOAD_DURATION
        and rollout.traffic_fraction > exposure_limit.probe_fraction
    ):
        return _advance(rollout, Step.LOAD, exposure_limit.probe_fraction)
    if vote_result.ruling is not Ruling.ACCEPTED or not progress.has_quorum:
        return None
    return _next_step(rollout, progress, exposure_limit)


def _timeout_reason(rollout: Rollout, progress: Progress) -> str:
    """The reason for a rollback of a version that was neither accepted nor rejected."""
    missing = progress.vote_result.reason
    if not missing and not progress.has_quorum:
        missing = "votes of a majority of the watchers"
    elif not missing:
        missing = "time" if rollout.step is Step.GROW else "answers of a busy runner"
    return f"the version could not be shown good in time; at step {rollout.step.name.lower()} was lacking: {missing}"


def _past_rollback_deadline(rollout: Rollout, elapsed: timedelta) -> bool:
    duration = timedelta(milliseconds=rollout.duration_ms)
    return elapsed >= min(duration * ROLLBACK_FRACTION, max(duration - ROLLBACK_MARGIN, duration / 2))


def _next_step(rollout: Rollout, progress: Progress, exposure_limit: ExposureLimit) -> AdvanceRollout | None:
    """The update to the next step; None if the current one must go on."""
    if rollout.step is Step.GROW:
        return _advance(rollout, Step.FULL, 1.0) if progress.step_age >= MINIMUM_GROW_DURATION else None
    if progress.elapsed < timedelta(milliseconds=rollout.duration_ms) * MINIMUM_WATCH_FRACTION:
        return None
    load_accepted = progress.vote_result.accepted_under_load or not progress.slots
    if load_accepted and (rollout.step is Step.PROBE or progress.step_age >= MINIMUM_LOAD_DURATION):
        return _advance(rollout, Step.GROW, GROW_FRACTION)
    if rollout.step is Step.PROBE:
        traffic_fraction = load_fraction(progress, exposure_limit)
        return _advance(rollout, Step.LOAD, traffic_fraction) if traffic_fraction else None
    return None


def load_fraction(progress: Progress, exposure_limit: ExposureLimit) -> float:
    """Return the share that loads one runner of the new version; 0 if it would exceed the exposure limit.

    The share is the runner's target load as a fraction of all requests in flight,
    but at least the probe share and at most ``MAXIMUM_LOAD_SHARE``.
    """
    target_fraction = TARGET_SLOT_UTILIZATION * progress.slots / max(1, progress.in_flight)
    traffic_fraction = min(MAXIMUM_LOAD_FRACTION, max(exposure_limit.probe_fraction, target_fraction))
    requests = progress.sent_per_s * MAXIMUM_LOAD_DURATION.total_seconds()
    allowed = exposure_limit.allows(progress.sent + requests, progress.exposed + traffic_fraction * requests)
    return traffic_fraction if allowed else 0.0


def _advance(rollout: Rollout, step: Step, traffic_fraction: float) -> AdvanceRollout:
    return AdvanceRollout(rollout.number, rollout.step, step, traffic_fraction)
