"""``DutyService``: carries out the duties at the platform while this controller is the primary.

The holder is the primary whose claim to the duties is committed. It claims again
in each epoch and thereby gets a new fencing token. Reports and orders are
committed before they are sent. A holder that succeeds another node waits for the
lease plus ``thaw_slack`` after its claim is committed, so that calls of two nodes
never alternate within a lease. Before each call a quorum confirms that this
controller is still the primary. The process may still be paused between that
check and the call; the fencing token makes such a late call harmless.
`docs/notes/duties.md` has the table of cases.
"""

from __future__ import annotations

import asyncio
import os
from datetime import timedelta
from typing import TYPE_CHECKING

from absl import logging
from attrs import define, field
from mode import Service

from sparloom.duties import DecidedWindow, DutyState, DutyUpdate, ScaleOrder
from sparloom.duties.lease import earliest_action
from sparloom.duties.scaling import ScalePolicy, total_demand
from sparloom.duties.state import MAX_PENDING_WINDOWS
from sparloom.membership import ROUTER
from sparloom.transport import monotonic, wall_clock_us
from sparloom.usage import FleetClock, UsageCollector, UsageReply, UsageReport, window_number
from sparloom.usage.clock import microseconds

from .change_requests import StateUpdate
from .configuration_writer import Acknowledged, Deadline
from .duty_updates import evaluate_duty_update
from .platform_calls import CallResult, PlatformCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.duties.scaling import ScaledService
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService

COLLECTOR_ID_BYTES = 7
# Interval between checks for a claim to make or windows to decide.
DECIDE_INTERVAL = timedelta(milliseconds=100)
# Interval of the scaling decisions.
SCALE_INTERVAL = timedelta(seconds=1)
# Polling interval while there is nothing to send or no call may be made.
IDLE_PAUSE = timedelta(milliseconds=100)
# Delay after a call that was not accepted.
RETRY_DELAY = timedelta(milliseconds=300)
# Minimum time between the end of a window and the decision on it.
MIN_DECIDE_DELAY = timedelta(milliseconds=300)
# Fraction of the usage lateness bound after which a window is decided even if the reports of some routers are missing.
DECIDE_DEADLINE_RATIO = 0.7
# Grace period in which routers can find a new primary; until then it decides no window with missing reports.
MIN_COLLECT_TIME = timedelta(seconds=2)
# Fraction of the lease: with an older confirmation, a primary does not present itself as the primary in replies to
# usage reports.
MAX_CONFIRMATION_AGE_RATIO = 0.5
# Timeout of a call as a fraction of the contact bound.
CALL_TIMEOUT_RATIO = 0.5
# Timeout and maximum age of the confirmation before a call, as a fraction of the lease.
CONFIRM_TIMEOUT_RATIO = 0.25


@define(slots=True, eq=False)
class DutyTerm:
    """The state of the duties in one epoch of this primary.

    Attributes
    ----------
    epoch
        The epoch of the consensus group.
    started_at
        Monotonic time at which this process first observed the epoch.
    usage_fence
        The fencing token of this epoch's claim; 0 before the claim is committed.
    active_from
        Earliest monotonic time for calls; None before the claim is committed.
    delivered_through
        The platform is known to have accepted the windows up to this number; 0 at the start of an epoch.
    fenced
        Whether the platform has seen a higher fencing token; then this epoch makes no more calls.
    accepted
        The fencing token of the newest order that the platform is known to have accepted, by service and zone; empty
        at the start of an epoch.
    policies
        The scaling policy of each scaled service.
    """

    epoch: int
    started_at: timedelta
    usage_fence: int = 0
    active_from: timedelta | None = None
    delivered_through: int = 0
    fenced: bool = False
    accepted: dict[tuple[str, str], int] = field(factory=dict)
    policies: dict[str, ScalePolicy] = field(factory=dict)

    def may_call(self, now: timedelta) -> bool:
        """Return whether calls may be made: the lease of the previous holder has expired and no call was fenced."""
        return self.active_from is not None and now >= self.active_from and not self.fenced


class DutyService(Service):
    """Claims the duties while this controller is the primary, and carries them out.

    Attributes
    ----------
    term : DutyTerm or None
        The state of the current epoch; None while this controller is not the primary.
    collector : UsageCollector
        The usage sums. Controllers that may become the primary collect as well.

    Parameters
    ----------
    scaled_services
        Returns the services with automatic scaling, from the current configuration and list of runners.
    """

    def __init__(
        self,
        settings: Settings,
        consensus: ConsensusService,
        writer: ConfigurationWriter,
        scaled_services: Callable[[], list[ScaledService]] = list,
    ) -> None:
        super().__init__()
        self.settings, self.consensus, self.writer = settings, consensus, writer
        self.scaled_services = scaled_services
        self.term: DutyTerm | None = None
        self.calls = PlatformCalls(settings, settings.bounds.contact * CALL_TIMEOUT_RATIO)
        collector_id = int.from_bytes(os.urandom(COLLECTOR_ID_BYTES))
        self.collector = UsageCollector(collector_id, FleetClock(monotonic(), wall_clock_us()))
        self._active_from: timedelta | None = None

    @property
    def enabled(self) -> bool:
        """Whether a platform is configured and expects any duty."""
        return self.settings.cloud_api is not None and self.settings.duties.expected

    async def on_stop(self) -> None:
        """Close the connections to the platform."""
        await self.calls.close()

    # -- terms ----------------------------------------------------------------------
    def _current_term(self) -> DutyTerm | None:
        """Return the term of the epoch in which this controller is the primary; each epoch gets a new one."""
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self.term = None
        elif self.term is None or self.term.epoch != epoch:
            self.term = DutyTerm(epoch, monotonic())
        return self.term

    def _state(self) -> DutyState | None:
        """Return the committed state of the duties; None before the first configuration."""
        committed = self.writer.committed
        if committed is None or not committed.state.revision:
            return None
        return committed.state.duties or DutyState()

    def receive(self, sender: str, record: Record) -> bool:
        """Handle a router's usage report and reply to it; return whether the record was such a report."""
        if not isinstance(record, UsageReport):
            return False
        self.consensus.send_datagram(sender, self._reply_to(record))
        return True

    def _reply_to(self, report: UsageReport) -> UsageReply:
        """Return the reply to a report.

        Only the primary sends the fleet time and the number of the last decided window.
        A primary without a recent confirmation, for instance after a pause, may
        have been replaced. It must not keep routers from finding the new one.
        """
        now, collector, member = monotonic(), self.collector, self.consensus.member
        collector.decide(report.decided_through)
        sequence, primary = collector.on_report(now, report), member.primary()
        if self._current_term() is None:
            key = f"{primary.host}:{primary.port}" if primary is not None else ""
            return UsageReply(collector.id, key, [], sequence, report.sent_at_us, 0, 0)
        age = member.confirmation_age(now)
        if age is None or age > self.settings.duties.lease * MAX_CONFIRMATION_AGE_RATIO:
            return UsageReply(collector.id, "", [], sequence, report.sent_at_us, 0, 0)
        true_us, decided = collector.clock.true_us(now), collector.decided_through
        standbys = self.consensus.backup_keys()
        return UsageReply(collector.id, self.consensus.key, standbys, sequence, report.sent_at_us, true_us, decided)

    # -- decisions ------------------------------------------------------------------
    @Service.task
    async def _decide(self) -> None:
        while not self.should_stop and self.enabled:
            await asyncio.sleep(DECIDE_INTERVAL.total_seconds())
            term, state = self._current_term(), self._state()
            if term is None or state is None:
                continue
            if not term.usage_fence:
                await self._claim(term)
            elif state.usage_fence == term.usage_fence:
                await self._decide_windows(term, state)

    async def _claim(self, term: DutyTerm) -> None:
        """Claim the duties for this epoch, with a new fencing token."""
        now, node = monotonic(), self.settings.node
        # Requests may begin before the first claim, so the first holder starts one lateness bound earlier.
        first_window = self._window(self.collector.clock.true_us(now - self.settings.duties.usage_lateness))
        if not await self._commit(DutyUpdate(node, claim=True, first_window=first_window)):
            # The claim may have been committed. The next claim would then name this node as the previous holder, so it
            # must wait for the lease plus ``thaw_slack``.
            self._active_from = None
            return
        claimed = self._state()
        if claimed is None or claimed.holder != node or self.consensus.leading_epoch() != term.epoch:
            self._active_from = None
            return
        self.collector.decide(claimed.next_window - 1)
        duties = self.settings.duties
        wait = duties.lease + duties.thaw_slack
        term.active_from = earliest_action(node, claimed.previous_holder, self._active_from, monotonic(), wait)
        self._active_from = term.active_from
        term.usage_fence = claimed.usage_fence
        wait_ms = max(0.0, (term.active_from - monotonic()).total_seconds()) * 1000
        logging.info("duties: claimed fence=%d before=%r wait_ms=%d", claimed.fence, claimed.previous_holder, wait_ms)

    def _window(self, true_us: int) -> int:
        return window_number(true_us, self.settings.duties.usage_window)

    async def _decide_windows(self, term: DutyTerm, state: DutyState) -> None:
        """Commit the windows that are due, and the number up to which the platform has accepted windows."""
        windows = self._windows_to_decide(term, state) if self.settings.duties.reports_usage else ()
        if not windows:
            return
        update = DutyUpdate(
            self.settings.node,
            usage_fence=term.usage_fence,
            windows=windows,
            acknowledged_through=term.delivered_through,
        )
        if await self._commit(update):
            self.collector.decide(windows[-1].number)
            logging.info(
                "duties: decided window=%d requests=%d late=%d",
                windows[-1].number,
                sum(sum(window.counts.values()) for window in windows),
                self.collector.late,
            )

    def _windows_to_decide(self, term: DutyTerm, state: DutyState) -> tuple[DecidedWindow, ...]:
        collector, now = self.collector, monotonic()
        true_us = collector.clock.true_us(now)
        alive = self._routers()
        collector.remove_departed(alive, now)
        undelivered = sum(window.number > term.delivered_through for window in state.windows)
        windows: list[DecidedWindow] = []
        number = state.next_window
        while undelivered + len(windows) < MAX_PENDING_WINDOWS and self._is_due(term, number, true_us, alive, now):
            windows.append(DecidedWindow(number, collector.counts(number)))
            number += 1
        return tuple(windows)

    def _routers(self) -> set[tuple[str, int]]:
        """Return the router processes that the membership lists as alive."""
        return {(peer.key, peer.instance_id) for peer in self.consensus.swim.alive() if peer.role == ROUTER}

    def _is_due(self, term: DutyTerm, number: int, true_us: int, alive: set[tuple[str, int]], now: timedelta) -> bool:
        """Return whether a window is due.

        It is if ``MIN_DECIDE_DELAY`` has passed since its end, and either all routers have reported it, or the deadline
        for reports and the grace period of a new primary have passed.
        """
        duties = self.settings.duties
        end_us = (number + 1) * microseconds(duties.usage_window)
        if true_us < end_us + microseconds(MIN_DECIDE_DELAY):
            return False
        if now - term.started_at > MIN_COLLECT_TIME and true_us >= end_us + microseconds(
            duties.usage_lateness * DECIDE_DEADLINE_RATIO
        ):
            return True
        return self.collector.is_complete(end_us, alive)

    async def _commit(self, update: DutyUpdate) -> bool:
        """Commit an update; return whether it is known to be committed."""
        outcome = await self.writer.change(StateUpdate(update, evaluate_duty_update), Deadline.after_body(0))
        return isinstance(outcome, Acknowledged)

    # -- usage reports --------------------------------------------------------------
    @Service.task
    async def _send_usage(self) -> None:
        while not self.should_stop and self.enabled:
            window = self._next_window()
            if window is None:
                await asyncio.sleep(IDLE_PAUSE.total_seconds())
                continue
            if await self._send_window(window) is not CallResult.ACCEPTED:
                await asyncio.sleep(RETRY_DELAY.total_seconds())

    def _next_window(self) -> DecidedWindow | None:
        """Return the oldest decided window that the platform is not known to have accepted, if calls may be made."""
        active = self._active_term()
        if active is None:
            return None
        term, state = active
        return next((window for window in state.windows if window.number > term.delivered_through), None)

    async def _send_window(self, window: DecidedWindow) -> CallResult:
        term = self.term
        if term is None or not await self._is_confirmed(term):
            return CallResult.REFUSED
        result = await self.calls.report_usage(window, term.usage_fence)
        if result is CallResult.ACCEPTED:
            term.delivered_through = max(term.delivered_through, window.number)
        elif result is CallResult.FENCED:
            term.fenced = True
            logging.warning("duties: call fenced fence=%d window=%d", term.usage_fence, window.number)
        return result

    # -- scaling --------------------------------------------------------------------
    @Service.task
    async def _scale(self) -> None:
        while not self.should_stop and self.enabled and self.settings.duties.scales:
            await asyncio.sleep(SCALE_INTERVAL.total_seconds())
            active = self._active_term()
            if active is None:
                continue
            term, state = active
            orders = self._new_orders(term, state)
            if orders:
                await self._commit_orders(term, orders)

    def _active_term(self) -> tuple[DutyTerm, DutyState] | None:
        """Return the current term and the committed state if this controller holds the duties and may make calls."""
        term, state = self._current_term(), self._state()
        if term is None or state is None or not term.may_call(monotonic()) or state.usage_fence != term.usage_fence:
            return None
        return term, state

    def _new_orders(self, term: DutyTerm, state: DutyState) -> tuple[ScaleOrder, ...]:
        """Return the orders that change a number of runners; none unless all routers have reported their load."""
        now = monotonic()
        if not self.collector.has_recent_reports(now, self._routers()):
            return ()
        loads, orders = self.collector.loads(now), []
        for service in self.scaled_services():
            ordered = {order.zone: order.desired for order in state.orders if order.service == service.name}
            policy = term.policies.setdefault(service.name, ScalePolicy())
            changes = policy.desired_changes(service, total_demand(loads.get(service.name, ())), now, ordered)
            orders += [ScaleOrder(service.name, zone, desired) for zone, desired in changes.items()]
        return tuple(orders)

    async def _commit_orders(self, term: DutyTerm, orders: tuple[ScaleOrder, ...]) -> None:
        if await self._commit(DutyUpdate(self.settings.node, usage_fence=term.usage_fence, orders=orders)):
            for order in orders:
                logging.info("duties: ordered service=%s zone=%s desired=%d", order.service, order.zone, order.desired)

    @Service.task
    async def _send_orders(self) -> None:
        while not self.should_stop and self.enabled and self.settings.duties.scales:
            order = self._next_order()
            if order is None:
                await asyncio.sleep(IDLE_PAUSE.total_seconds())
            elif not await self._send_order(order):
                await asyncio.sleep(RETRY_DELAY.total_seconds())

    def _next_order(self) -> ScaleOrder | None:
        """Return the first order not known to be accepted by the platform in this epoch, if calls may be made."""
        active = self._active_term()
        if active is None:
            return None
        term, state = active
        return next((order for order in state.orders if term.accepted.get(order.subject) != order.fence), None)

    async def _send_order(self, order: ScaleOrder) -> bool:
        """Send an order; return whether the platform is known to have accepted it."""
        term = self.term
        if term is None or not await self._is_confirmed(term):
            return False
        result = await self.calls.scale(order)
        if result is CallResult.ACCEPTED:
            term.accepted[order.subject] = order.fence
        elif result is CallResult.FENCED:
            term.fenced = True
            logging.warning("duties: call fenced fence=%d zone=%s", order.fence, order.zone)
        return result is CallResult.ACCEPTED

    async def _is_confirmed(self, term: DutyTerm) -> bool:
        """Wait until the rate limit allows a call, then return whether the call may be made.

        It may if a quorum confirms in time that this controller is still the primary in ``term``.
        """
        await self.calls.wait_for_rate()
        limit, began = self.settings.duties.lease * CONFIRM_TIMEOUT_RATIO, monotonic()
        if await self.consensus.confirm(limit) is None:
            return False
        now = monotonic()
        return now - began <= limit and self.consensus.leading_epoch() == term.epoch and term.may_call(now)
