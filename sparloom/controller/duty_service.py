"""Carries out the duties at the platform while this controller is the primary.

The holder is the primary that has committed its claim; with each epoch it
claims anew and so has a fence of its own. What is to be sent is committed
before it is sent. A holder that takes over from another node waits until the
lease of that is over, so that two nodes never take turns within it. Before
each call a majority confirms that this is still the primary; what such a check
can't rule out - a process that stands still between it and the call - the
fence makes harmless: `docs/notes/duties.md` has the table.
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
from sparloom.duties.lease import first_act
from sparloom.duties.scaling import ScalePolicy, demand_of
from sparloom.duties.state import MAXIMUM_WINDOWS
from sparloom.membership import ROUTER
from sparloom.transport import monotonic, wall_clock_us
from sparloom.usage import FleetClock, UsageCollector, UsageReply, UsageReport, window_number
from sparloom.usage.clock import microseconds

from .change_requests import StateUpdate
from .configuration_writer import Acknowledged, Deadline
from .duty_updates import judge_duties
from .platform_calls import CallResult, PlatformCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.duties.scaling import ScaledService
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService

COLLECTOR_ID_BYTES = 7
STEP = timedelta(milliseconds=100)
# Between two looks at what is needed.
SCALE_STEP = timedelta(seconds=1)
NOT_HOLDER_PAUSE = timedelta(milliseconds=100)
# After a call that was not accepted.
RETRY_PAUSE = timedelta(milliseconds=300)
# A window is decided no earlier than this after its end.
SETTLE_TIME = timedelta(milliseconds=300)
# It is decided without the routers that have not told all after this part of the time in which its report is due,
DECIDE_PART = 0.7
# but not before a new primary has given them so long to find it.
COLLECT_TIME = timedelta(seconds=2)
# A primary takes reports in while its last confirmation is no older than this part of the lease.
COLLECT_PART = 0.5
# A call may take this part of the contact bound.
CALL_TIMEOUT_PART = 0.5
# The confirmation before a call may take, and be as old as, this part of the lease.
CONFIRM_PART = 0.25


@define(slots=True, eq=False)
class DutyTerm:
    """What one epoch of this primary knows of its duties.

    Attributes
    ----------
    epoch
        The epoch.
    started_at
        When it was first seen here, on the monotonic clock.
    usage_fence
        The fence of this epoch's claim; 0 before it is committed.
    acts_from
        From when on calls may be made.
    delivered_through
        The platform has the windows up to this number.
    fenced
        Whether the platform has seen a higher fence: nothing more is sent in this epoch.
    accepted
        The fence of the newest order that the platform has, by service and zone.
    policies
        The needs of each service that is scaled.
    """

    epoch: int
    started_at: timedelta
    usage_fence: int = 0
    acts_from: timedelta | None = None
    delivered_through: int = 0
    fenced: bool = False
    accepted: dict[tuple[str, str], int] = field(factory=dict)
    policies: dict[str, ScalePolicy] = field(factory=dict)

    def may_act(self, now: timedelta) -> bool:
        """Whether the wait for the lease of an earlier holder is over."""
        return self.acts_from is not None and now >= self.acts_from and not self.fenced


class DutyService(Service):
    """The duties of this controller.

    Attributes
    ----------
    term : DutyTerm or None
        The present epoch; None while this controller is not the primary.
    collector : UsageCollector
        The sums of usage; a controller that may become the primary collects as well.

    Parameters
    ----------
    scaled_services
        Gives the services whose runners are ordered, as they are configured and listed now.
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
        self.calls = PlatformCalls(settings, settings.bounds.contact * CALL_TIMEOUT_PART)
        collector_id = int.from_bytes(os.urandom(COLLECTOR_ID_BYTES))
        self.collector = UsageCollector(collector_id, FleetClock(monotonic(), wall_clock_us()))
        self._acts_from: timedelta | None = None

    @property
    def enabled(self) -> bool:
        """Whether the platform expects any duty."""
        return self.settings.cloud is not None and self.settings.duties.expected

    async def on_stop(self) -> None:
        """Close the connections to the platform."""
        await self.calls.close()

    # -- terms ----------------------------------------------------------------------
    def _present_term(self) -> DutyTerm | None:
        """The term of the epoch in which this controller is the primary, made anew with each epoch."""
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self.term = None
        elif self.term is None or self.term.epoch != epoch:
            self.term = DutyTerm(epoch, monotonic())
        return self.term

    def _state(self) -> DutyState | None:
        """The committed state of the duties; None before there is a configuration."""
        committed = self.writer.committed
        if committed is None or not committed.state.revision:
            return None
        return committed.state.duties or DutyState()

    def receive(self, sender: str, record: Record) -> bool:
        """Take a router's report in and reply; return whether the record was one."""
        if not isinstance(record, UsageReport):
            return False
        self.consensus.send_datagram(sender, self._reply_to(record))
        return True

    def _reply_to(self, report: UsageReport) -> UsageReply:
        """The reply to a report; only the primary tells the time and what is decided.

        One that was not confirmed lately, as after a pause, may have a
        successor: it must not keep routers from finding that.
        """
        now, collector, member = monotonic(), self.collector, self.consensus.member
        collector.decide(report.decided_through)
        sequence, primary = collector.on_report(now, report), member.primary()
        if self._present_term() is None:
            key = f"{primary.host}:{primary.port}" if primary is not None else ""
            return UsageReply(collector.id, key, [], sequence, report.sent_at_us, 0, 0)
        age = member.confirmation_age(now)
        if age is None or age > self.settings.duties.lease * COLLECT_PART:
            return UsageReply(collector.id, "", [], sequence, report.sent_at_us, 0, 0)
        true_us, decided = collector.clock.true_us(now), collector.decided_through
        standbys = self.consensus.backup_keys()
        return UsageReply(collector.id, self.consensus.key, standbys, sequence, report.sent_at_us, true_us, decided)

    # -- what is decided --------------------------------------------------------------
    @Service.task
    async def _decide(self) -> None:
        while not self.should_stop and self.enabled:
            await asyncio.sleep(STEP.total_seconds())
            term, state = self._present_term(), self._state()
            if term is None or state is None:
                continue
            if not term.usage_fence:
                await self._claim(term)
            elif state.usage_fence == term.usage_fence:
                await self._decide_windows(term, state)

    async def _claim(self, term: DutyTerm) -> None:
        """Take the duties over in this epoch, with a fence of its own."""
        now, node = monotonic(), self.settings.node
        # Requests may have begun before anyone could claim: the first holder of all reports a little back.
        first_window = self._window(self.collector.clock.true_us(now - self.settings.duties.usage_lateness))
        if not await self._commit(DutyUpdate(node, claim=True, first_window=first_window)):
            # The claim may have been committed: who held the duties before is not known any more.
            self._acts_from = None
            return
        claimed = self._state()
        if claimed is None or claimed.holder != node or self.consensus.leading_epoch() != term.epoch:
            self._acts_from = None
            return
        self.collector.decide(claimed.next_window - 1)
        duties = self.settings.duties
        wait = duties.lease + duties.thaw_slack
        term.acts_from = first_act(node, claimed.previous_holder, self._acts_from, monotonic(), wait)
        self._acts_from = term.acts_from
        term.usage_fence = claimed.usage_fence
        wait_ms = max(0.0, (term.acts_from - monotonic()).total_seconds()) * 1000
        logging.info("duties: claimed fence=%d before=%r wait_ms=%d", claimed.fence, claimed.previous_holder, wait_ms)

    def _window(self, true_us: int) -> int:
        return window_number(true_us, self.settings.duties.usage_window)

    async def _decide_windows(self, term: DutyTerm, state: DutyState) -> None:
        """Commit the windows that are over and told, with what the platform has by now."""
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
        collector.keep_only(alive, now)
        undelivered = sum(window.number > term.delivered_through for window in state.windows)
        windows: list[DecidedWindow] = []
        number = state.next_window
        while undelivered + len(windows) < MAXIMUM_WINDOWS and self._is_due(term, number, true_us, alive, now):
            windows.append(DecidedWindow(number, collector.counts(number)))
            number += 1
        return tuple(windows)

    def _routers(self) -> set[tuple[str, int]]:
        """The runs of routers that are believed up."""
        return {(peer.key, peer.instance_id) for peer in self.consensus.swim.alive() if peer.role == ROUTER}

    def _is_due(self, term: DutyTerm, number: int, true_us: int, alive: set[tuple[str, int]], now: timedelta) -> bool:
        """Whether a window is over, and told by all routers or waited for long enough."""
        duties = self.settings.duties
        end_us = (number + 1) * microseconds(duties.usage_window)
        if true_us < end_us + microseconds(SETTLE_TIME):
            return False
        if now - term.started_at > COLLECT_TIME and true_us >= end_us + microseconds(
            duties.usage_lateness * DECIDE_PART
        ):
            return True
        return self.collector.is_complete(end_us, alive)

    async def _commit(self, update: DutyUpdate) -> bool:
        """Commit an update; return whether it is known to be committed."""
        outcome = await self.writer.change(StateUpdate(update, judge_duties), Deadline.after_body(0))
        return isinstance(outcome, Acknowledged)

    # -- what is sent -------------------------------------------------------------------
    @Service.task
    async def _send_usage(self) -> None:
        while not self.should_stop and self.enabled:
            window = self._next_window()
            if window is None:
                await asyncio.sleep(NOT_HOLDER_PAUSE.total_seconds())
                continue
            if await self._send_window(window) is not CallResult.ACCEPTED:
                await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _next_window(self) -> DecidedWindow | None:
        """The oldest decided window that the platform isn't known to have, where it may be sent now."""
        held = self._held()
        if held is None:
            return None
        term, state = held
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
            logging.warning("duties: fenced off fence=%d window=%d", term.usage_fence, window.number)
        return result

    # -- scaling ------------------------------------------------------------------------
    @Service.task
    async def _scale(self) -> None:
        while not self.should_stop and self.enabled and self.settings.duties.scales:
            await asyncio.sleep(SCALE_STEP.total_seconds())
            held = self._held()
            if held is None:
                continue
            term, state = held
            orders = self._wanted_orders(term, state)
            if orders:
                await self._commit_orders(term, orders)

    def _held(self) -> tuple[DutyTerm, DutyState] | None:
        """The present term and the committed state, where this controller holds the duties and may act."""
        term, state = self._present_term(), self._state()
        if term is None or state is None or not term.may_act(monotonic()) or state.usage_fence != term.usage_fence:
            return None
        return term, state

    def _wanted_orders(self, term: DutyTerm, state: DutyState) -> tuple[ScaleOrder, ...]:
        """Orders that differ from those before; none while routers are missing whose load isn't known."""
        now = monotonic()
        if not self.collector.has_heard(now, self._routers()):
            return ()
        loads, orders = self.collector.loads(now), []
        for service in self.scaled_services():
            ordered = {order.zone: order.desired for order in state.orders if order.service == service.name}
            policy = term.policies.setdefault(service.name, ScalePolicy())
            changes = policy.wanted(service, demand_of(loads.get(service.name, ())), now, ordered)
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
                await asyncio.sleep(NOT_HOLDER_PAUSE.total_seconds())
            elif not await self._send_order(order):
                await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _next_order(self) -> ScaleOrder | None:
        """The first of the newest orders that the platform isn't known to have."""
        held = self._held()
        if held is None:
            return None
        term, state = held
        return next((order for order in state.orders if term.accepted.get(order.subject) != order.fence), None)

    async def _send_order(self, order: ScaleOrder) -> bool:
        """Send an order; return whether the platform has it."""
        term = self.term
        if term is None or not await self._is_confirmed(term):
            return False
        result = await self.calls.scale(order)
        if result is CallResult.ACCEPTED:
            term.accepted[order.subject] = order.fence
        elif result is CallResult.FENCED:
            term.fenced = True
            logging.warning("duties: fenced off fence=%d zone=%s", order.fence, order.zone)
        return result is CallResult.ACCEPTED

    async def _is_confirmed(self, term: DutyTerm) -> bool:
        """Whether a majority has just confirmed this primary and its term, so that a call may be made at once."""
        await self.calls.wait_for_rate()
        limit, began = self.settings.duties.lease * CONFIRM_PART, monotonic()
        if await self.consensus.confirm(limit) is None:
            return False
        now = monotonic()
        return now - began <= limit and self.consensus.leading_epoch() == term.epoch and term.may_act(now)
