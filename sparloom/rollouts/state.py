"""The durable state of rollouts: serving versions, orders, steps and verdicts.

It is part of the control state. An order, each step and each verdict are
committed here before anyone is notified. A rollout is decided once: no update
applies after it has ended.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Status(Enum):
    """The state of a rollout as reported to operators; the values are part of the wire format."""

    SERVING = "serving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Step(IntEnum):
    """The step of a rollout; the numbers are stored and sent on the wire."""

    PROBE = 0  # a small share of the requests, spread over all runners of the new version
    LOAD = 1  # about the same share, sent to one runner at a time to reach its full load
    GROW = 2  # a large share
    FULL = 3  # all new requests; the old version finishes the requests it has


@define(frozen=True, slots=True)
class Rollout:
    """An order to move a service's requests to another version, and its progress.

    Attributes
    ----------
    number
        Unique number; later rollouts have higher numbers.
    service
        The service.
    target
        The version that the requests move to.
    duration_ms
        Time from the order within which the rollout must end.
    ordered_at_ms
        Wall clock of the primary that took the order, in milliseconds since 1970; the clock may jump afterwards.
    base
        The versions that served at the time of the order.
    status
        The state as reported to operators.
    step
        The present step.
    traffic_fraction
        Fraction of the requests sent to the new version.
    reason
        Why it ended, in one sentence; "" while it is in progress.
    """

    number: int
    service: str
    target: str
    duration_ms: int
    ordered_at_ms: int
    base: tuple[str, ...]
    status: Status = Status.SERVING
    step: Step = Step.PROBE
    traffic_fraction: float = 0.0
    reason: str = ""

    @property
    def is_serving(self) -> bool:
        """Whether it is in progress."""
        return self.status is Status.SERVING

    def serving_versions(self) -> tuple[str, ...]:
        """Return the versions that serve requests, apart from the requests exposed to the new version."""
        takes_all = self.status is Status.COMPLETED or (self.is_serving and self.step is Step.FULL)
        return (self.target,) if takes_all else self.base

    def to_json(self) -> list[Any]:
        """Return the rollout as a JSON list."""
        return [
            self.number,
            self.service,
            self.target,
            self.duration_ms,
            self.ordered_at_ms,
            list(self.base),
            self.status.value,
            int(self.step),
            self.traffic_fraction,
            self.reason,
        ]

    @classmethod
    def from_json(cls, item: list[Any]) -> Rollout:
        """Return the rollout from a JSON list made by ``to_json``."""
        number, service, target, duration_ms, ordered_at_ms, base, status, step, traffic_fraction, reason = item
        return cls(
            number,
            service,
            target,
            duration_ms,
            ordered_at_ms,
            tuple(base),
            Status(status),
            Step(step),
            traffic_fraction,
            reason,
        )


@define(frozen=True, slots=True)
class RolloutsState:
    """All decisions on versions of services.

    Attributes
    ----------
    next_number
        The number of the next rollout.
    collector
        HOST:PORT of the primary that collects the watchers' votes; "" before the first claim.
    first_versions
        The versions in the first list of each service; runners of other versions serve only through a rollout.
    newest
        The newest rollout of each service that has had one.

    >>> state = RolloutsState().record_first_versions({"s": ("v1",)}).order("s", "v2", 9000, 0)
    >>> state.newest["s"].number, RolloutsState.from_json(state.to_json()) == state
    (1, True)
    """

    next_number: int = 1
    collector: str = ""
    first_versions: dict[str, tuple[str, ...]] = field(factory=dict)
    newest: dict[str, Rollout] = field(factory=dict)

    def serving_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service that serve requests; none if the service is unknown."""
        newest = self.newest.get(service)
        return newest.serving_versions() if newest else self.first_versions.get(service, ())

    def uses_default_pool(self, service: str, version: str) -> bool:
        """Whether a version's runners belong to the pool that has the service's name.

        The runners of one first version do. Before the first list, all do except those of a rollout's target.

        >>> state = RolloutsState().order("s", "v2", 9000, 0)
        >>> state.uses_default_pool("s", "v1"), state.uses_default_pool("s", "v2"), state.uses_default_pool("t", "v2")
        (True, False, True)
        >>> state = RolloutsState().record_first_versions({"s": ("v1", "v0")})
        >>> state.uses_default_pool("s", "v0"), state.uses_default_pool("s", "v1")
        (True, False)
        """
        if service in self.first_versions:
            return version == self.first_versions[service][0]
        newest = self.newest.get(service)
        return newest is None or version != newest.target

    def active_rollouts(self) -> list[Rollout]:
        """Return the rollouts in progress."""
        return [rollout for rollout in self.newest.values() if rollout.is_serving]

    def find_rollout(self, number: int) -> Rollout | None:
        """Return the rollout with this number if it is the newest of its service."""
        return next((rollout for rollout in self.newest.values() if rollout.number == number), None)

    def record_first_versions(self, versions: Mapping[str, Iterable[str]]) -> RolloutsState:
        """Return the state with the first versions of further services; recorded ones don't change."""
        found = {service: tuple(sorted(names)) for service, names in versions.items()}
        return evolve(self, first_versions={**found, **self.first_versions})

    def order(self, service: str, target: str, duration_ms: int, ordered_at_ms: int) -> RolloutsState:
        """Return the state after a new order; an order of the only serving version is completed at once."""
        serving = self.serving_versions(service)
        base = tuple(version for version in serving if version != target)
        rollout = Rollout(self.next_number, service, target, duration_ms, ordered_at_ms, base)
        if serving == (target,):
            rollout = evolve(rollout, status=Status.COMPLETED, reason="the version serves already")
        return evolve(self._replace_rollout(rollout), next_number=self.next_number + 1)

    def claim(self, collector: str) -> RolloutsState:
        """Return the state in which another primary collects the votes."""
        return evolve(self, collector=collector)

    def advance(self, rollout: Rollout, step: Step, traffic_fraction: float) -> RolloutsState:
        """Return the state with a rollout at another step or share."""
        return self._replace_rollout(evolve(rollout, step=step, traffic_fraction=traffic_fraction))

    def end(self, rollout: Rollout, status: Status, reason: str) -> RolloutsState:
        """Return the state with a rollout's verdict."""
        return self._replace_rollout(evolve(rollout, status=status, traffic_fraction=0.0, reason=reason))

    def _replace_rollout(self, rollout: Rollout) -> RolloutsState:
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
        """Return the state from a JSON object made by ``to_json``."""
        rollouts = [Rollout.from_json(fields) for fields in item["newest"]]
        return cls(
            item["nextNumber"],
            item["collector"],
            {service: tuple(names) for service, names in item["firstVersions"].items()},
            {rollout.service: rollout for rollout in rollouts},
        )
