"""The scheduler's state of runners and of their runs: capacity, clock, holds and health.

A hold is a lease on everything that runs on a runner. The scheduler extends it with hold calls; once it has lapsed on
the runner's clock, the runner ends all its runs.
"""

from __future__ import annotations

from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING, Any

from attrs import define, field
from returns.result import Failure, Result, Success

from .late_orders import AbandonedStarts
from .specification import Resources

if TYPE_CHECKING:
    from .jobs import Step, Task

# Maximum fraction by which a runner's clock may be slow, including a margin.
MAXIMUM_CLOCK_SLOWDOWN = 0.021
# Safety margin that is added to the computed time at which a hold lapses.
LAPSE_MARGIN_S = 0.25
# A runner that rejects starts, or whose runs fail, gets no starts for a while. The time begins at the minimum and
# doubles with each avoidance, up to the maximum.
MINIMUM_AVOIDANCE_S = 0.5
MAXIMUM_AVOIDANCE_S = 8.0
# Number of consecutive failed runs after which a runner is avoided.
FAILURES_BEFORE_AVOIDANCE = 3
# If a run may still start, and its stop has not been confirmed for this time, the scheduler stops extending the hold
# of its runner and lets it lapse.
STOP_TIMEOUT_S = 4.0


@define(frozen=True, slots=True)
class RunnerListing:
    """A runner as the platform lists it.

    Attributes
    ----------
    id
        Id of this instance; a restarted runner has a new one.
    service
        The service it belongs to.
    address
        HOST:PORT.
    draining
        Whether it accepts no new runs.
    capacity
        Its total resources for tasks.
    labels
        Its kind and its rack.
    zone
        The zone of its machine, or empty.
    """

    id: str
    service: str
    address: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    zone: str = ""


def _parse_listing(item: dict[str, Any]) -> RunnerListing:
    capacity = item.get("capacity") or {}
    return RunnerListing(
        id=item["runnerId"],
        service=item["service"],
        address=item["address"],
        draining=item.get("state") != "ready",
        capacity=Resources(
            int(capacity.get("cpu", 0)), int(capacity.get("memoryRequestMb", 0)), int(capacity.get("gpuCount", 0))
        ),
        labels=frozenset(item.get("labels") or ()),
        zone=item.get("zone") or "",
    )


def read_listing(document: Any) -> Result[tuple[list[RunnerListing], str | None], str]:
    """Parse a page of the platform's list; a success holds the runners and the token of the next page.

    >>> read_listing({"instances": [], "nextPageToken": None}).unwrap()
    ([], None)
    >>> read_listing({"instances": []}).failure()
    "the platform's page can't be read: 'nextPageToken'"
    """
    try:
        return Success(([_parse_listing(item) for item in document["instances"]], document["nextPageToken"]))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"the platform's page can't be read: {error}")


@define(frozen=True, slots=True)
class HoldDeadline:
    """The deadline of a hold, on both clocks.

    Attributes
    ----------
    clock_ms
        The deadline on the runner's clock.
    lapses_at
        When that deadline has certainly passed, in seconds of the local monotonic clock.
    """

    clock_ms: int
    lapses_at: float


class RunPhase(Enum):
    """The last known phase of a run."""

    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()


@define(slots=True, eq=False)
class Run:
    """One run of a task on one runner, from its first start request until its end is known.

    Attributes
    ----------
    step, task
        The task that is run, and its step.
    number
        The run's number.
    runner
        The runner it is assigned to.
    phase
        Its last known phase.
    requested_at
        When the newest start or stop request for it was sent, in seconds.
    first_requested_at
        When the first start request was sent, in seconds.
    has_started
        Whether it is known to have started: from then on its runner rejects further requests to start it.
    unanswered
        Whether a start request for it timed out.
    request_in_flight
        Whether a request for it is in flight.
    deadline
        Deadline of the start request; every retry carries the same one.
    rejected_at
        When a retried start request was rejected although an earlier one may have been carried out, in seconds; None
        before that. The runner's next list shows whether the run has started.
    stopping_since
        When its stop was first requested, in seconds; None before that.
    stop_confirmed_at
        When the runner's confirmation of the stop was received, in seconds; None before that.
    """

    step: Step
    task: Task
    number: int
    runner: Runner
    phase: RunPhase
    requested_at: float
    first_requested_at: float
    has_started: bool = False
    unanswered: bool = False
    request_in_flight: bool = False
    deadline: HoldDeadline | None = None
    rejected_at: float | None = None
    stopping_since: float | None = None
    stop_confirmed_at: float | None = None

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return self.step.task_name(self.task.index)

    @property
    def may_still_start(self) -> bool:
        """Whether a start request may still be carried out, or may have been carried out without a known answer."""
        if self.has_started or self.stop_confirmed_at is not None:
            return False
        return self.unanswered or (self.request_in_flight and self.stopping_since is None)

    def stop_timed_out(self, now: float) -> bool:
        """Whether a run that may still start could not be stopped in time, so that the hold has to lapse."""
        return self.may_still_start and self.stopping_since is not None and now - self.stopping_since > STOP_TIMEOUT_S


@define(slots=True, eq=False)
class Runner:
    """A runner, its runs, and the state that it has reported.

    Times are seconds of the monotonic clock, except ``clock_ms`` and ``latest_deadline_ms``.

    Attributes
    ----------
    listing
        The runner as the platform lists it; ``listed`` is False once it is no longer listed.
    evacuated
        Whether its zone is evacuated.
    used
        Resources that its active runs use.
    runs
        The active runs, by task name.
    contacted
        Whether it has answered this primary, so that its runs are known.
    replaced
        Whether its address now belongs to another instance; it never returns.
    clock_ms, clock_read_at
        Its clock in the newest answer, and when that answer was received.
    hold_until
        When all its runs have certainly ended if no further call reaches it.
    latest_deadline_ms
        The latest deadline of all calls, on its clock; ``hold_until`` takes it into account.
    abandoned_starts
        Start requests of dropped runs that may still be carried out.
    hold_in_flight, hold_sent_at, responsive
        Whether a hold call is in flight, when the newest one was sent, and whether the last completed one succeeded.
    next_hold_at
        Earliest time of the next hold call.
    check_at
        Time of its next scheduled check; infinite if none is scheduled.
    applied_end
        Sequence number of its newest end that was applied.
    stored_end
        Sequence number of its newest end whose effect is stored.
    sent_ack
        Sequence number that the newest hold call acknowledged.
    confirmed_ack
        Sequence number that the newest answered hold call acknowledged: the runner has certainly forgotten that end.
    avoid_until, avoidance_s
        Time until which it gets no starts, and the length of the last avoidance, in seconds.
    consecutive_failures
        Number of consecutive failed runs.
    """

    listing: RunnerListing
    listed: bool = True
    evacuated: bool = False
    used: Resources = field(factory=Resources)
    runs: dict[str, Run] = field(factory=dict)
    contacted: bool = False
    replaced: bool = False
    clock_ms: float = 0.0
    clock_read_at: float = 0.0
    hold_until: float = 0.0
    latest_deadline_ms: int = 0
    abandoned_starts: AbandonedStarts = field(factory=AbandonedStarts)
    hold_in_flight: bool = False
    hold_sent_at: float = 0.0
    responsive: bool = True
    next_hold_at: float = 0.0
    check_at: float = inf
    applied_end: int = 0
    stored_end: int = 0
    sent_ack: int = 0
    confirmed_ack: int = 0
    avoid_until: float = 0.0
    avoidance_s: float = 0.0
    consecutive_failures: int = 0

    @property
    def leaving(self) -> bool:
        """Whether no more runs are to be started there."""
        return self.replaced or self.evacuated or self.listing.draining

    @property
    def serving(self) -> bool:
        """Whether it accepts starts, apart from temporary obstacles."""
        return self.contacted and self.listed and not self.leaving

    @property
    def needs_hold_call(self) -> bool:
        """Whether it needs a hold call.

        That is so if it has not been contacted, its last call failed, it has active runs or abandoned starts, or it may
        not have received the acknowledgement of a stored end.
        """
        if self.replaced:
            return False
        has_obligations = bool(self.runs) or bool(self.abandoned_starts)
        return has_obligations or not self.contacted or not self.responsive or self.stored_end > self.confirmed_ack

    def usable(self, now: float) -> bool:
        """Whether a run can be started there now."""
        return self.serving and self.responsive and not self.abandoned_starts and now >= self.avoid_until

    def next_deadline_ms(self, now: float, hold_s: float) -> int:
        """Return the deadline of the next hold call, on its clock; 0 to leave the hold unchanged.

        The hold is not extended while calls go unanswered or a run can't be stopped. A longer hold might take effect
        without an answer, and then it would never lapse. The deadline of an unanswered call may already be in effect,
        so it is sent again.
        """
        if not self.contacted or not self.runs or self.abandoned_starts:
            return 0
        if any(run.stop_timed_out(now) for run in self.runs.values()):
            return 0
        return self.extend_hold(now, hold_s).clock_ms if self.responsive else self.latest_deadline_ms

    def fits(self, needs: Resources) -> bool:
        """Whether it has free capacity for a task."""
        capacity, used = self.listing.capacity, self.used
        return (
            used.cpu + needs.cpu <= capacity.cpu
            and used.memory_mb + needs.memory_mb <= capacity.memory_mb
            and used.gpus + needs.gpus <= capacity.gpus
        )

    def could_fit(self, needs: Resources) -> bool:
        """Whether it would have capacity for a task if it were idle."""
        return self.listing.capacity.covers(needs)

    def add(self, run: Run) -> None:
        """Add an active run and reserve its resources."""
        self.runs[run.name] = run
        self.used = self.used.plus(run.step.specification.needs)

    def remove(self, run: Run) -> None:
        """Remove a run and release its resources."""
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
            self.used = self.used.minus(run.step.specification.needs)

    # -- its clock --------------------------------------------------------------
    def record_clock(self, clock_ms: float, received_at: float) -> None:
        """Record its clock from an answer that has just been received."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_read_at = clock_ms, received_at

    def extend_hold(self, now: float, hold_s: float) -> HoldDeadline:
        """Return the deadline of a call that is sent now, and assume that the call arrives.

        The runner's clock may be slow, so ``MAXIMUM_CLOCK_SLOWDOWN`` and a margin are added to the local time.
        """
        deadline_ms = self.clock_ms + (now - self.clock_read_at + hold_s) * 1000
        lapses_at = (
            self.clock_read_at + (deadline_ms - self.clock_ms) / 1000 / (1 - MAXIMUM_CLOCK_SLOWDOWN) + LAPSE_MARGIN_S
        )
        self.hold_until = max(self.hold_until, lapses_at)
        self.latest_deadline_ms = max(self.latest_deadline_ms, int(deadline_ms))
        return HoldDeadline(int(deadline_ms), lapses_at)

    # -- its health -------------------------------------------------------------
    def avoid(self, now: float) -> None:
        """Send it no starts for a while; the time doubles with each avoidance."""
        self.avoidance_s = min(MAXIMUM_AVOIDANCE_S, max(MINIMUM_AVOIDANCE_S, self.avoidance_s * 2))
        self.avoid_until = max(self.avoid_until, now + self.avoidance_s)

    def record_end(self, succeeded: bool, now: float) -> None:
        """Record that a run there ended ``done`` or ``failed``."""
        if succeeded:
            self.consecutive_failures, self.avoidance_s = 0, 0.0
            return
        self.consecutive_failures += 1
        if self.consecutive_failures >= FAILURES_BEFORE_AVOIDANCE:
            self.avoid(now)
