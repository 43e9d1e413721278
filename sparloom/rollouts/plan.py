"""The way of a roll-out from step to step: what the primary is to commit next. No I/O.

Most of the time is left for watching, since a version may turn bad late. A
version that could not be shown good in time is rolled back before the
operators' time is over: an undecided one must not stay.
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
    from .verdict import Judgement

# Of the exposure that is allowed, the part that is made use of.
SHARE_PART = 0.8
# and that which must not be gone beyond for a while either.
ALLOWED_PART = 0.9
# Before this part of the duration no version is taken for good.
WATCH_PART = 0.4
# After this part, or so long before its end, one that has not been shown good is rolled back.
GIVE_UP_PART = 0.9
GIVE_UP_BEFORE = timedelta(milliseconds=1500)
# A runner under load is kept this full,
LOAD_PART = 0.9
# by no more than this part of all requests,
LOAD_MAXIMUM_SHARE = 0.7
# for at least and at most so long.
LOAD_TIME = timedelta(milliseconds=2500)
LOAD_LIMIT = timedelta(milliseconds=3500)
# The share of the new version before it takes all, and for how long.
GROW_SHARE = 0.5
GROW_TIME = timedelta(milliseconds=800)


@define(frozen=True, slots=True)
class Exposure:
    """How many requests a version that isn't known to be good may be sent.

    Attributes
    ----------
    share
        This part of the requests of its service,
    slack
        and so many more.
    """

    share: float = 0.1
    slack: float = 50

    @property
    def probe_share(self) -> float:
        """The share of the first step."""
        return self.share * SHARE_PART

    def allows(self, sent: float, exposed: float) -> bool:
        """Return whether so many of the requests may have been exposed; some are kept back for what isn't told yet.

        >>> Exposure(0.1, 50).allows(1000, 135), Exposure(0.1, 50).allows(1000, 140)
        (True, False)
        """
        return exposed <= (self.share * sent + self.slack) * ALLOWED_PART


@define(frozen=True, slots=True)
class Progress:
    """What the primary knows of a roll-out now.

    Attributes
    ----------
    elapsed
        Time since the order.
    step_age
        For how long the present step and share have been committed, as far as this primary knows.
    runners
        Runners of the new version that are listed and take requests.
    slots
        Requests that one of them works on at once; 0 where unknown.
    sent, exposed
        Requests of the service since the order, and those of them that went to the new version.
    sent_per_s
        Requests of the service in a second.
    in_flight
        Requests at the service's runners.
    watched
        Whether a majority of the routers has voted of late.
    base_is_empty
        Whether all routers go by the last step and have nothing at the old version.
    judgement
        The outcome of the vote.
    """

    elapsed: timedelta
    step_age: timedelta
    runners: int
    slots: int
    sent: int
    exposed: int
    sent_per_s: float
    in_flight: int
    watched: bool
    base_is_empty: bool
    judgement: Judgement


def next_update(rollout: Rollout, progress: Progress, exposure: Exposure) -> AdvanceRollout | EndRollout | None:
    """Return what is to be committed now; None while there is nothing to do but watch."""
    judgement = progress.judgement
    if judgement.ruling is Ruling.REJECTED:
        return EndRollout(rollout.number, Status.ROLLED_BACK, judgement.reason)
    if rollout.step is Step.FULL:
        if not progress.base_is_empty:
            return None
        return EndRollout(rollout.number, Status.COMPLETED, Ruling.ACCEPTED.value)
    if _is_late(rollout, progress.elapsed):
        return EndRollout(rollout.number, Status.ROLLED_BACK, _not_shown_good(rollout, progress))
    if rollout.share == 0:
        return _advance(rollout, Step.PROBE, exposure.probe_share) if progress.runners else None
    if rollout.step is Step.LOAD and progress.step_age >= LOAD_LIMIT and rollout.share > exposure.probe_share:
        return _advance(rollout, Step.LOAD, exposure.probe_share)
    if judgement.ruling is not Ruling.ACCEPTED or not progress.watched:
        return None
    return _next_step(rollout, progress, exposure)


def _not_shown_good(rollout: Rollout, progress: Progress) -> str:
    """Why a version is rolled back that nothing speaks against."""
    lacking = progress.judgement.reason
    if not lacking and not progress.watched:
        lacking = "votes of a majority of the watchers"
    elif not lacking:
        lacking = "time" if rollout.step is Step.GROW else "answers of a busy runner"
    return f"the version could not be shown good in time; at step {rollout.step.name.lower()} was lacking: {lacking}"


def _is_late(rollout: Rollout, elapsed: timedelta) -> bool:
    duration = timedelta(milliseconds=rollout.duration_ms)
    return elapsed >= min(duration * GIVE_UP_PART, max(duration - GIVE_UP_BEFORE, duration / 2))


def _next_step(rollout: Rollout, progress: Progress, exposure: Exposure) -> AdvanceRollout | None:
    """The step after the present one, where that has lasted long enough."""
    if rollout.step is Step.GROW:
        return _advance(rollout, Step.FULL, 1.0) if progress.step_age >= GROW_TIME else None
    if progress.elapsed < timedelta(milliseconds=rollout.duration_ms) * WATCH_PART:
        return None
    loaded = progress.judgement.accepted_under_load or not progress.slots
    if loaded and (rollout.step is Step.PROBE or progress.step_age >= LOAD_TIME):
        return _advance(rollout, Step.GROW, GROW_SHARE)
    if rollout.step is Step.PROBE:
        share = load_share(progress, exposure)
        return _advance(rollout, Step.LOAD, share) if share else None
    return None


def load_share(progress: Progress, exposure: Exposure) -> float:
    """Return the share that keeps one runner busy; 0 where more would be exposed than is allowed.

    As many requests are to be at that runner as it works on at once, of all
    that are at runners now.
    """
    wanted = LOAD_PART * progress.slots / max(1, progress.in_flight)
    share = min(LOAD_MAXIMUM_SHARE, max(exposure.probe_share, wanted))
    requests = progress.sent_per_s * LOAD_LIMIT.total_seconds()
    allowed = exposure.allows(progress.sent + requests, progress.exposed + share * requests)
    return share if allowed else 0.0


def _advance(rollout: Rollout, step: Step, share: float) -> AdvanceRollout:
    return AdvanceRollout(rollout.number, rollout.step, step, share)
