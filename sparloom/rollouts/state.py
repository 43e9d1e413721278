"""The durable state of the roll-outs: which versions serve, what was ordered, how far it is, and its verdict.

It is part of the control state. An order, each step and each verdict are
committed here before anybody is told. A roll-out is decided once: no update
applies to one that has ended.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Status(Enum):
    """What the operators are told of a roll-out; the values are the wire's."""

    SERVING = "serving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Step(IntEnum):
    """How far the new version has come; the numbers are stored and go out on the wire."""

    PROBE = 0  # a small part of the requests, over all runners of the version
    LOAD = 1  # about as many, all at one runner at a time, so that it is as busy as it may ever be
    GROW = 2  # a large part
    FULL = 3  # all new requests; the old version ends what it has


@define(frozen=True, slots=True)
class Rollout:
    """One order to move a service's requests to another version, and what has become of it.

    Attributes
    ----------
    number
        Tells it from all others; they rise.
    service
        The service.
    target
        The version that its requests are to move to.
    duration_ms
        Within this time of the order it is to be done.
    ordered_at_ms
        Wall clock of the primary that took the order, in milliseconds since 1970; it may have jumped since.
    base
        The versions that served when it was ordered.
    status
        What operators are told.
    step
        How far it has come.
    share
        The part of the requests that goes to the new version.
    reason
        Why it has ended, in one sentence; "" before.
    """

    number: int
    service: str
    target: str
    duration_ms: int
    ordered_at_ms: int
    base: tuple[str, ...]
    status: Status = Status.SERVING
    step: Step = Step.PROBE
    share: float = 0.0
    reason: str = ""

    @property
    def is_serving(self) -> bool:
        """Whether it is under way."""
        return self.status is Status.SERVING

    def serving_versions(self) -> tuple[str, ...]:
        """Return the versions that requests go to, but for those that try the new one."""
        takes_all = self.status is Status.COMPLETED or (self.is_serving and self.step is Step.FULL)
        return (self.target,) if takes_all else self.base

    def to_json(self) -> list[Any]:
        """Return the roll-out as a JSON list."""
        return [
            self.number,
            self.service,
            self.target,
            self.duration_ms,
            self.ordered_at_ms,
            list(self.base),
            self.status.value,
            int(self.step),
            self.share,
            self.reason,
        ]

    @classmethod
    def from_json(cls, item: list[Any]) -> Rollout:
        """Return the roll-out in a JSON list that ``to_json`` has made."""
        number, service, target, duration_ms, ordered_at_ms, base, status, step, share, reason = item
        return cls(
            number,
            service,
            target,
            duration_ms,
            ordered_at_ms,
            tuple(base),
            Status(status),
            Step(step),
            share,
            reason,
        )


@define(frozen=True, slots=True)
class RolloutsState:
    """All that is decided about versions of services.

    Attributes
    ----------
    next_number
        The number of the next roll-out.
    collector
        HOST:PORT of the primary that takes the watchers' votes; "" before the first claim.
    first_versions
        For each service the versions that were listed first; runners of any other serve only by a roll-out.
    newest
        The newest roll-out of each service that has had one.

    >>> state = RolloutsState().note_versions({"s": ("v1",)}).order("s", "v2", 9000, 0)
    >>> state.newest["s"].number, RolloutsState.from_json(state.to_json()) == state
    (1, True)
    """

    next_number: int = 1
    collector: str = ""
    first_versions: dict[str, tuple[str, ...]] = field(factory=dict)
    newest: dict[str, Rollout] = field(factory=dict)

    def serving_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service that requests go to; none where nothing is known of it."""
        newest = self.newest.get(service)
        return newest.serving_versions() if newest else self.first_versions.get(service, ())

    def is_plain(self, service: str, version: str) -> bool:
        """Whether a version's runners are listed under the service's own name: those of one first version are.

        Before any list is known, all are but those of a roll-out.

        >>> state = RolloutsState().order("s", "v2", 9000, 0)
        >>> state.is_plain("s", "v1"), state.is_plain("s", "v2"), state.is_plain("t", "v2")
        (True, False, True)
        >>> state = RolloutsState().note_versions({"s": ("v1", "v0")})
        >>> state.is_plain("s", "v0"), state.is_plain("s", "v1")
        (True, False)
        """
        if service in self.first_versions:
            return version == self.first_versions[service][0]
        newest = self.newest.get(service)
        return newest is None or version != newest.target

    def under_way(self) -> list[Rollout]:
        """Return the roll-outs that are under way."""
        return [rollout for rollout in self.newest.values() if rollout.is_serving]

    def find(self, number: int) -> Rollout | None:
        """Return the newest roll-out of a service by its number."""
        return next((rollout for rollout in self.newest.values() if rollout.number == number), None)

    def note_versions(self, versions: Mapping[str, Iterable[str]]) -> RolloutsState:
        """Return the state that knows the first versions of further services; those known stay as they are."""
        found = {service: tuple(sorted(names)) for service, names in versions.items()}
        return evolve(self, first_versions={**found, **self.first_versions})

    def order(self, service: str, target: str, duration_ms: int, ordered_at_ms: int) -> RolloutsState:
        """Return the state after a new order; one to the only version that serves is complete at once."""
        serving = self.serving_versions(service)
        base = tuple(version for version in serving if version != target)
        rollout = Rollout(self.next_number, service, target, duration_ms, ordered_at_ms, base)
        if serving == (target,):
            rollout = evolve(rollout, status=Status.COMPLETED, reason="the version serves already")
        return evolve(self._with(rollout), next_number=self.next_number + 1)

    def claim(self, collector: str) -> RolloutsState:
        """Return the state in which another primary takes the votes."""
        return evolve(self, collector=collector)

    def advance(self, rollout: Rollout, step: Step, share: float) -> RolloutsState:
        """Return the state in which a roll-out has come to a step."""
        return self._with(evolve(rollout, step=step, share=share))

    def end(self, rollout: Rollout, status: Status, reason: str) -> RolloutsState:
        """Return the state in which a roll-out has its verdict."""
        return self._with(evolve(rollout, status=status, share=0.0, reason=reason))

    def _with(self, rollout: Rollout) -> RolloutsState:
        return evolve(self, newest={**self.newest, rollout.service: rollout})

    def to_json(self) -> dict[str, Any]:
        """Return the state as a JSON object."""
        return {
            "nextNumber": self.next_number,
            "collector": self.collector,
            "firstVersions": {service: list(names) for service, names in self.first_versions.items()},
            "newest": [self.newest[service].to_json() for service in sorted(self.newest)],
        }

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> RolloutsState:
        """Return the state in a JSON object that ``to_json`` has made."""
        rollouts = [Rollout.from_json(fields) for fields in item["newest"]]
        return cls(
            item["nextNumber"],
            item["collector"],
            {service: tuple(names) for service, names in item["firstVersions"].items()},
            {rollout.service: rollout for rollout in rollouts},
        )
