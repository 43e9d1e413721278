"""Usage reports of a router (``UsageReporter``): counts tenants' requests as they start, and reports them by datagram.

Reports go to the primary, which names its standby controllers. The same
reports go to the standbys, so that a failure of the primary loses no counts.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.membership import CONTROLLER, report_interval
from sparloom.transport import monotonic, wall_clock_us
from sparloom.usage import RouterClock, ServiceLoad, UsageChannel, UsageCounter, UsageReply, UsageReport, window_number
from sparloom.usage.clock import MICROSECOND, microseconds

if TYPE_CHECKING:
    from sparloom.codec import Record

    from .admission_queues import AdmissionQueues
    from .membership_service import MembershipService
    from .router_state import RouterState

# Report intervals without a reply after which the router tries the next controller.
UNANSWERED_INTERVALS = 3


class UsageReporter:
    """This router's part of the duties: reports its counts of started requests, and its load per scaled service.

    Attributes
    ----------
    counter: the started requests by window and tenant.
    clock: estimates the true time from exchanges with the primary.
    """

    def __init__(self, state: RouterState, membership: MembershipService, queues: AdmissionQueues) -> None:
        self._state, self._membership, self._queues = state, membership, queues
        self.counter = UsageCounter()
        self.clock = RouterClock(monotonic(), wall_clock_us())
        self._channels: dict[str, UsageChannel] = {}
        self._primary: str | None = None
        self._standbys: tuple[str, ...] = ()
        self._clock_source = ""
        self._next_index = 0
        self._sent_at = timedelta(0)
        self._replied_at = timedelta(0)

    def on_request_started(self, tenant: str) -> None:
        """Counts a request of a tenant that has started to run: the first chunk of its answer has arrived."""
        if tenant and self._state.settings.duties.reports_usage:
            self.counter.add(self._window(), tenant)

    def _window(self) -> int:
        return window_number(self.clock.true_us(monotonic()), self._state.settings.duties.usage_window)

    # -- reports ------------------------------------------------------------------
    def _interval(self) -> timedelta:
        interval: timedelta = report_interval(self._state.fleet_size.divisor)
        return interval

    def tick(self) -> None:
        """Sends reports if they are due."""
        now = monotonic()
        if now - self._sent_at >= self._interval():
            self.send(now)

    def send(self, now: timedelta) -> None:
        """Sends reports now, to the primary and to its standbys."""
        if now - self._replied_at > self._interval() * UNANSWERED_INTERVALS:
            self._primary, self._replied_at = self._next_controller(), now
        if self._primary is None:
            return
        self._sent_at = now
        loads = self._loads()
        for target in dict.fromkeys((self._primary, *self._standbys)):
            channel = self._channels.setdefault(target, UsageChannel())
            self._membership.datagrams.send(target, self._report(now, channel, loads))

    def _report(self, now: timedelta, channel: UsageChannel, loads: list[ServiceLoad]) -> UsageReport:
        sequence, entries = channel.next_report(self.counter)
        return UsageReport(
            self._state.key,
            self._state.instance_id,
            channel.collector_id,
            sequence,
            channel.base,
            microseconds(now),
            wall_clock_us(),
            self.clock.round_trip_us,
            self.clock.true_us(now),
            self.counter.decided_through,
            entries,
            loads,
        )

    def _next_controller(self) -> str | None:
        """Returns the next controller in round-robin order; the start of the rotation differs between routers."""
        alive = sorted(peer.key for peer in self._membership.swim.alive() if peer.role == CONTROLLER)
        candidates = alive or sorted(self._state.seeds)
        if not candidates:
            return None
        self._next_index += 1
        return candidates[(self._next_index + self._state.instance_id) % len(candidates)]

    def _loads(self) -> list[ServiceLoad]:
        configuration = self._state.configuration
        if configuration is None or not self._state.settings.duties.scales:
            return []
        scaled = sorted(name for name, service in configuration.services.items() if service.scaling is not None)
        return [ServiceLoad(name, *self._queues.load(name)) for name in scaled]

    def on_message(self, source: str, message: Record) -> None:
        """Handles a controller's reply to the newest report; other messages and replies are ignored."""
        if isinstance(message, UsageReply):
            self._on_reply(source, message)

    def _on_reply(self, source: str, reply: UsageReply) -> None:
        now, channel = monotonic(), self._channels.get(source)
        if channel is None or reply.sent_at_us != microseconds(self._sent_at):
            return
        channel.on_reply(reply.collector_id, reply.sequence)
        if reply.true_us:
            self._on_primary_reply(source, reply, now)
        elif source == self._primary:
            self._primary = reply.primary or self._next_controller()

    def _on_primary_reply(self, source: str, reply: UsageReply, now: timedelta) -> None:
        """Applies the primary's reply: the true time, its standbys, and the last window that is decided."""
        if source != self._clock_source:
            self._clock_source = source
            self.clock.clear_exchanges()
        self._primary, self._standbys, self._replied_at = source, tuple(reply.standbys), now
        self.clock.on_exchange(reply.sent_at_us * MICROSECOND, now, reply.true_us)
        self.counter.decide(reply.decided_through)
