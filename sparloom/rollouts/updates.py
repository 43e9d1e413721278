"""Changes of the roll-outs' state: each says what it builds on, and is judged on committed state. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from .state import Status, Step

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .state import Rollout, RolloutsState


@define(frozen=True, slots=True)
class Refusal:
    """Why an update does not apply, in one sentence.

    Attributes
    ----------
    text
        The sentence.
    in_the_way
        The roll-out under way that an order must wait for; None where that isn't the reason.
    """

    text: str
    in_the_way: Rollout | None = None


class RolloutUpdate(Protocol):
    """What all changes of the roll-outs' state have in common."""

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update, sent again."""

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state after the update, the same one where nothing is to change."""


@define(frozen=True, slots=True)
class OrderRollout:
    """An operator's order.

    The same order again, which means the same service, version and duration,
    changes nothing, also once the roll-out has ended: an acknowledgement may
    have been lost, and nobody may be exposed to a version that was judged bad
    because its order came twice.

    Attributes
    ----------
    service, target, duration_ms
        As ``Rollout`` has them.
    ordered_at_ms
        Wall clock of the primary; no part of what tells two orders apart.
    """

    service: str
    target: str
    duration_ms: int
    ordered_at_ms: int = field(default=0, eq=False)

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other order, sent again.

        >>> OrderRollout("s", "v2", 9000, 1).is_retry_of(OrderRollout("s", "v2", 9000, 2))
        True
        """
        return self == other

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the roll-out, or why it can't begin now.

        >>> from .state import RolloutsState
        >>> first = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> OrderRollout("s", "v2", 9000).apply(first) is first
        True
        >>> OrderRollout("s", "v3", 9000).apply(first).text
        'the roll-out of s to v2 is under way'
        """
        newest = state.newest.get(self.service)
        if newest is None:
            return state.order(self.service, self.target, self.duration_ms, self.ordered_at_ms)
        if (newest.target, newest.duration_ms) == (self.target, self.duration_ms):
            return state
        if newest.is_serving:
            return Refusal(f"the roll-out of {self.service} to {newest.target} is under way", newest)
        return state.order(self.service, self.target, self.duration_ms, self.ordered_at_ms)


class MadeOnce:
    """An update of a controller's own: each is made once, from what was committed before it."""

    __slots__ = ()

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update."""
        return self is other


@define(frozen=True, slots=True)
class NoteVersions(MadeOnce):
    """The first list of runners of some services.

    Attributes
    ----------
    versions
        For each service the versions of its listed runners.
    """

    versions: Mapping[str, tuple[str, ...]]

    def apply(self, state: RolloutsState) -> RolloutsState:
        """Return the state that knows them.

        >>> from .state import RolloutsState
        >>> NoteVersions({"s": ("v1",)}).apply(RolloutsState()).serving_versions("s")
        ('v1',)
        """
        return state.note_versions(self.versions)


@define(frozen=True, slots=True)
class ClaimRollouts(MadeOnce):
    """A primary takes the votes from now on.

    Attributes
    ----------
    collector
        Its internal HOST:PORT.
    """

    collector: str

    def apply(self, state: RolloutsState) -> RolloutsState:
        """Return the state that names it.

        >>> from .state import RolloutsState
        >>> ClaimRollouts("h:1").apply(RolloutsState()).collector
        'h:1'
        """
        return state.claim(self.collector)


@define(frozen=True, slots=True)
class AdvanceRollout(MadeOnce):
    """The next step of a roll-out, or another share within the present one.

    Attributes
    ----------
    number
        The roll-out.
    before
        The step that it builds on.
    step, share
        What follows.
    """

    number: int
    before: Step
    step: Step
    share: float

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the step; steps never go back.

        >>> from .state import RolloutsState
        >>> ordered = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> grown = AdvanceRollout(1, Step.PROBE, Step.GROW, 0.5).apply(ordered)
        >>> grown.newest["s"].share, AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1).apply(grown).text
        (0.5, 'roll-out 1 is not at this step any more')
        """
        rollout = state.find(self.number)
        if rollout is None or not rollout.is_serving:
            return Refusal(f"roll-out {self.number} has ended")
        if rollout.step != self.before or self.step < self.before:
            return Refusal(f"roll-out {self.number} is not at this step any more")
        return state.advance(rollout, self.step, self.share)


@define(frozen=True, slots=True)
class EndRollout(MadeOnce):
    """The verdict.

    Attributes
    ----------
    number
        The roll-out.
    status
        ``COMPLETED`` or ``ROLLED_BACK``.
    reason
        Why, in one sentence.
    """

    number: int
    status: Status
    reason: str

    def apply(self, state: RolloutsState) -> RolloutsState | Refusal:
        """Return the state with the verdict; it is given once, and only a full step can be completed.

        >>> from .state import RolloutsState, Status
        >>> ordered = OrderRollout("s", "v2", 9000).apply(RolloutsState())
        >>> ended = EndRollout(1, Status.ROLLED_BACK, "bad").apply(ordered)
        >>> EndRollout(1, Status.COMPLETED, "good").apply(ended).text
        'roll-out 1 has ended'
        >>> EndRollout(1, Status.COMPLETED, "good").apply(ordered).text
        'roll-out 1 has not come to its last step'
        """
        rollout = state.find(self.number)
        if rollout is None or not rollout.is_serving:
            return Refusal(f"roll-out {self.number} has ended")
        if self.status is Status.COMPLETED and rollout.step is not Step.FULL:
            return Refusal(f"roll-out {self.number} has not come to its last step")
        return state.end(rollout, self.status, self.reason)
