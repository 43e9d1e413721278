"""Runners as the scheduler knows them: capacity, clock, how long they hold what runs there, and their runs."""

from __future__ import annotations

from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING, Any

from attrs import define, field
from returns.result import Failure, Result, Success

from .late_orders import UnsettledOrders
from .specification import Resources

if TYPE_CHECKING:
    from .jobs import Step, Task

# A runner's clock may be slow by this part; with a margin.
SLOW_CLOCK = 0.021
# Added to the moment at which a hold has surely lapsed, in seconds.
LAPSE_MARGIN_S = 0.25
# A runner that turns starts away, or fails what it runs, is left alone for so long, and twice as long each time.
FIRST_AVOIDANCE_S = 0.5
LONGEST_AVOIDANCE_S = 8.0
# So many runs in a row must fail until a runner is avoided.
FAILURES_UNTIL_AVOIDED = 3
# A run that may begin yet, and whose stop is left without an answer for longer, makes the hold of its runner lapse.
STOP_PATIENCE_S = 4.0


@define(frozen=True, slots=True)
class RunnerListing:
    """A runner as the platform lists it.

    Attributes
    ----------
    id
        Names this instance; a restarted runner has another one.
    service
        The service that it belongs to.
    address
        HOST:PORT.
    draining
        Whether it takes no new runs.
    capacity
        What it has for tasks.
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


def _listing(item: dict[str, Any]) -> RunnerListing:
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
    """Read a page of the platform's list; a success holds the runners and the token of the next page.

    >>> read_listing({"instances": [], "nextPageToken": None}).unwrap()
    ([], None)
    >>> read_listing({"instances": []}).failure()
    "the platform's page can't be read: 'nextPageToken'"
    """
    try:
        return Success(([_listing(item) for item in document["instances"]], document["nextPageToken"]))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"the platform's page can't be read: {error}")


@define(frozen=True, slots=True)
class HoldDeadline:
    """Until when a runner holds what runs there.

    Attributes
    ----------
    clock_ms
        On the runner's clock.
    lapses_at
        When that has surely passed, in seconds of the monotonic clock here.
    """

    clock_ms: int
    lapses_at: float


class RunPhase(Enum):
    """How far a run has come, as far as is known."""

    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()


@define(slots=True, eq=False)
class Run:
    """One run of a task on one runner, from the order to start it until its end is known.

    Attributes
    ----------
    step, task
        What runs.
    number
        The run's number.
    runner
        Where it runs.
    phase
        How far it has come.
    ordered_at
        When the newest order for it was given, in seconds.
    first_ordered_at
        When the first one was given, in seconds.
    began
        Whether it is known to have begun: from then on its runner turns further orders to start it away.
    unanswered
        Whether an order to start it was left without an answer.
    in_call
        Whether an order for it is under way.
    deadline
        Until when the order to start it is to be carried out; it is repeated with the same one.
    rejected_at
        When a repeated order to start it was turned away though an earlier one may have been carried out, in seconds;
        None before that. A list tells what has become of it.
    stopping_since
        When it was first ordered to stop, in seconds; None before that.
    stop_confirmed_at
        When its runner was first known to have taken the stop, in seconds; None before that.
    """

    step: Step
    task: Task
    number: int
    runner: Runner
    phase: RunPhase
    ordered_at: float
    first_ordered_at: float
    began: bool = False
    unanswered: bool = False
    in_call: bool = False
    deadline: HoldDeadline | None = None
    rejected_at: float | None = None
    stopping_since: float | None = None
    stop_confirmed_at: float | None = None

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return self.step.task_name(self.task.index)

    @property
    def may_begin(self) -> bool:
        """Whether an order to start it may be carried out yet, or may have been unseen."""
        if self.began or self.stop_confirmed_at is not None:
            return False
        return self.unanswered or (self.in_call and self.stopping_since is None)

    def resists_stop(self, now: float) -> bool:
        """Whether a run that may begin yet could not be stopped for so long that only the end of the hold is sure."""
        return self.may_begin and self.stopping_since is not None and now - self.stopping_since > STOP_PATIENCE_S


@define(slots=True, eq=False)
class Runner:
    """A runner, its runs, and what it has said.

    Times are seconds of the monotonic clock, but for ``clock_ms``.

    Attributes
    ----------
    listing
        How the platform lists it; ``listed`` tells whether it still does.
    evacuated
        Whether its zone is evacuated.
    used
        What the runs under way take of it.
    runs
        The runs under way, by task name.
    known
        Whether it has answered this primary, so that its runs are known.
    replaced
        Whether its address belongs to another instance by now: it is gone for good.
    clock_ms, clock_read_at
        What its clock showed, and when that answer came.
    hold_until
        When all that runs there has surely been killed if it hears no more.
    promised_ms
        The latest deadline of all calls, on its clock: ``hold_until`` reckons with it.
    unsettled_orders
        Orders to start runs that were given up, and may be carried out yet.
    calling, called_at, answers
        Whether a call to hold it is under way, when the newest one began, and whether the one before was answered.
    next_hold_at
        The next such call is not made earlier.
    attend_at
        When it is to be looked after next; infinite where nothing is due.
    applied_end
        Number of its newest end that was applied here.
    stored_end
        Number of its newest end of which the effect is stored.
    told_end
        Number of the newest end that the newest call told it to forget.
    acknowledged_end
        The same of the newest call that it answered: it has surely forgotten that end.
    avoid_until, avoided_for
        No start before that moment; and how long it was avoided the last time, in seconds.
    failures
        How many runs in a row have failed here.
    """

    listing: RunnerListing
    listed: bool = True
    evacuated: bool = False
    used: Resources = field(factory=Resources)
    runs: dict[str, Run] = field(factory=dict)
    known: bool = False
    replaced: bool = False
    clock_ms: float = 0.0
    clock_read_at: float = 0.0
    hold_until: float = 0.0
    promised_ms: int = 0
    unsettled_orders: UnsettledOrders = field(factory=UnsettledOrders)
    calling: bool = False
    called_at: float = 0.0
    answers: bool = True
    next_hold_at: float = 0.0
    attend_at: float = inf
    applied_end: int = 0
    stored_end: int = 0
    told_end: int = 0
    acknowledged_end: int = 0
    avoid_until: float = 0.0
    avoided_for: float = 0.0
    failures: int = 0

    @property
    def leaving(self) -> bool:
        """Whether nothing more is to be started there."""
        return self.replaced or self.evacuated or self.listing.draining

    @property
    def serving(self) -> bool:
        """Whether it takes starts at all."""
        return self.known and self.listed and not self.leaving

    @property
    def needs_call(self) -> bool:
        """Whether it has to be called.

        It is not known, or its last call failed, or it runs something or may begin something, or it may not know that
        an end is stored.
        """
        if self.replaced:
            return False
        busy = bool(self.runs) or bool(self.unsettled_orders)
        return busy or not self.known or not self.answers or self.stored_end > self.acknowledged_end

    def usable(self, now: float) -> bool:
        """Whether it may be given a start now."""
        return self.serving and self.answers and not self.unsettled_orders and now >= self.avoid_until

    def next_deadline_ms(self, now: float, hold_s: float) -> int:
        """Return the deadline of the next call to hold it, on its clock; 0 to hold nothing.

        While its calls go unanswered, or a run there can't be stopped, nothing more is promised than was before: a
        longer hold might reach it unseen, and nothing would ever lapse. The deadline of an unanswered call is promised
        already, so it is given again.
        """
        if not self.known or not self.runs or self.unsettled_orders:
            return 0
        if any(run.resists_stop(now) for run in self.runs.values()):
            return 0
        return self.extend_hold(now, hold_s).clock_ms if self.answers else self.promised_ms

    def fits(self, needs: Resources) -> bool:
        """Whether it has room for a task."""
        capacity, used = self.listing.capacity, self.used
        return (
            used.cpu + needs.cpu <= capacity.cpu
            and used.memory_mb + needs.memory_mb <= capacity.memory_mb
            and used.gpus + needs.gpus <= capacity.gpus
        )

    def could_fit(self, needs: Resources) -> bool:
        """Whether it would have room for a task if nothing ran there."""
        return self.listing.capacity.covers(needs)

    def add(self, run: Run) -> None:
        """Take up a run."""
        self.runs[run.name] = run
        self.used = self.used.plus(run.step.specification.needs)

    def remove(self, run: Run) -> None:
        """Drop a run whose end is known."""
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
            self.used = self.used.minus(run.step.specification.needs)

    # -- its clock --------------------------------------------------------------
    def note_clock(self, clock_ms: float, received_at: float) -> None:
        """Note what its clock showed in an answer that has come now."""
        if clock_ms >= self.clock_ms:
            self.clock_ms, self.clock_read_at = clock_ms, received_at

    def extend_hold(self, now: float, hold_s: float) -> HoldDeadline:
        """Return the deadline of a call that is sent now, and reckon with that it arrives.

        The clock may be slow, so the deadline passes later than this one's seconds tell.
        """
        deadline_ms = self.clock_ms + (now - self.clock_read_at + hold_s) * 1000
        lapses_at = self.clock_read_at + (deadline_ms - self.clock_ms) / 1000 / (1 - SLOW_CLOCK) + LAPSE_MARGIN_S
        self.hold_until = max(self.hold_until, lapses_at)
        self.promised_ms = max(self.promised_ms, int(deadline_ms))
        return HoldDeadline(int(deadline_ms), lapses_at)

    # -- its health -------------------------------------------------------------
    def avoid(self, now: float) -> None:
        """Give it no start for a while, longer each time."""
        self.avoided_for = min(LONGEST_AVOIDANCE_S, max(FIRST_AVOIDANCE_S, self.avoided_for * 2))
        self.avoid_until = max(self.avoid_until, now + self.avoided_for)

    def note_end(self, succeeded: bool, now: float) -> None:
        """Note that a run ended ``done`` or ``failed`` here."""
        if succeeded:
            self.failures, self.avoided_for = 0, 0.0
            return
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_AVOIDED:
            self.avoid(now)
