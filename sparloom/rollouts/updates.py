"""Updates of the rollouts' state: each names the state it expects and is checked against the committed one. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from .state import Status, Step

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .state import Rollout, RolloutsState


@define(frozen=True, slots=True)
class Refusal:
    """Why an update was refused, in one sentence.

    Attributes
    ----------
    text
        The sentence.
    conflicting_rollout
        The rollout in progress that an order must wait for; None if the update was refused for another reason.
    """

    text: str
    conflicting_rollout: Rollout | None = None


class RolloutUpdate(Protocol):
    """The interface of all updates of the rollouts' state."""

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other update."""

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state after the update, or the same object if nothing changes."""


@define(frozen=True, slots=True)
class OrderRollout:
    """An operator's order of a rollout.

    Orders are idempotent: a repeated order, with the same service, version and
    duration, changes nothing, even after the rollout has ended. An operator may
    retry after a lost acknowledgement, and a retry must not expose requests to
    a version that was already rejected.

    Attributes
    ----------
    service, target, duration_ms
        Have the same meaning as in ``Rollout``.
    ordered_at_ms
        Wall clock of the primary; ignored when orders are compared.
    """

    service: str
    target: str
    duration_ms: int
    ordered_at_ms: int = field(default=0, eq=False)

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other order.

        >>> OrderRollout("s", "v2", 9000, 1).is_retry_of(OrderRollout("s", "v2", 9000, 2))
        True
        """
        return self == other

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the rollout, or why it can't start now.

        >>> from .state import RolloutsState
        >>> first = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> OrderRollout("s", "v2", 9000).apply(first) is first
        True
        >>> OrderRollout("s", "v3", 9000).apply(first).text
        'a rollout of s to v2 is already in progress'
        """
        newest = state.newest.get(self.service)
        if newest is None:
            return state.order(self.service, self.target, self.duration_ms, self.ordered_at_ms)
        if (newest.target, newest.duration_ms) == (self.target, self.duration_ms):
            return state
        if newest.is_serving:
            return Refusal(f"a rollout of {self.service} to {newest.target} is already in progress", newest)
        return state.order(self.service, self.target, self.duration_ms, self.ordered_at_ms)


class InternalUpdate:
    """An update made by a controller itself, once, from the state committed before it."""

    __slots__ = ()

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the same update object."""
        return self is other


@define(frozen=True, slots=True)
class RecordFirstVersions(InternalUpdate):
    """Records the versions in the first list of runners of some services.

    Attributes
    ----------
    versions
        The versions of each service's listed runners.
    """

    versions: Mapping[str, tuple[str, ...]]

    def apply(self, state: RolloutsState) -> RolloutsState:
        """Return the state with these first versions.

        >>> from .state import RolloutsState
        >>> RecordFirstVersions({"s": ("v1",)}).apply(RolloutsState()).serving_versions("s")
        ('v1',)
        """
        return state.record_first_versions(self.versions)


@define(frozen=True, slots=True)
class ClaimRollouts(InternalUpdate):
    """A primary becomes the collector of the votes.

    Attributes
    ----------
    collector
        Its internal HOST:PORT.
    """

    collector: str

    def apply(self, state: RolloutsState) -> RolloutsState:
        """Return the state with this collector.

        >>> from .state import RolloutsState
        >>> ClaimRollouts("h:1").apply(RolloutsState()).collector
        'h:1'
        """
        return state.claim(self.collector)


@define(frozen=True, slots=True)
class AdvanceRollout(InternalUpdate):
    """The next step of a rollout, or another share within the present step.

    Attributes
    ----------
    number
        The rollout's number.
    expected_step
        The step in the state that the update was made from.
    step, traffic_fraction
        The new step and share.
    """

    number: int
    expected_step: Step
    step: Step
    traffic_fraction: float

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the step and share; a step never goes back to an earlier one.

        >>> from .state import RolloutsState
        >>> ordered = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> grown = AdvanceRollout(1, Step.PROBE, Step.GROW, 0.5).apply(ordered)
        >>> grown.newest["s"].traffic_fraction, AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1).apply(grown).text
        (0.5, 'rollout 1 is no longer at the expected step')
        """
        rollout = state.find_rollout(self.number)
        if rollout is None or not rollout.is_serving:
            return Refusal(f"rollout {self.number} has ended")
        if rollout.step != self.expected_step or self.step < self.expected_step:
            return Refusal(f"rollout {self.number} is no longer at the expected step")
        return state.advance(rollout, self.step, self.traffic_fraction)


@define(frozen=True, slots=True)
class EndRollout(InternalUpdate):
    """The verdict on a rollout.

    Attributes
    ----------
    number
        The rollout's number.
    status
        ``COMPLETED`` or ``ROLLED_BACK``.
    reason
        The reason, in one sentence.
    """

    number: int
    status: Status
    reason: str

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the verdict; it is final, and only a rollout at the last step can be completed.

        >>> from .state import RolloutsState, Status
        >>> ordered = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> ended = EndRollout(1, Status.ROLLED_BACK, "bad").apply(ordered)
        >>> EndRollout(1, Status.COMPLETED, "good").apply(ended).text
        'rollout 1 has ended'
        >>> EndRollout(1, Status.COMPLETED, "good").apply(ordered).text
        'rollout 1 has not reached its last step'
        """
        rollout = state.find_rollout(self.number)
        if rollout is None or not rollout.is_serving:
            return Refusal(f"rollout {self.number} has ended")
        if self.status is Status.COMPLETED and rollout.step is not Step.FULL:
            return Refusal(f"rollout {self.number} has not reached its last step")
        return state.end(rollout, self.status, self.reason)
