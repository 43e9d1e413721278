"""The router's membership (``MembershipService``): SWIM over UDP, and the tick that drives all periodic work."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.membership import ROUTER, Ack, Peer, Ping, PingRequest, Swim, SwimTiming, TableComparison
from sparloom.transport import Datagrams, monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sparloom.codec import Record
    from sparloom.membership import Send

    from .router_state import RouterState

# Interval of the tick.
TICK = timedelta(milliseconds=50)
SWIM_MESSAGES = (Ping, Ack, PingRequest, TableComparison)


class MembershipService:
    """Owns the failure detector, the datagram socket and the tick.

    ``on_message(source, message)`` is called for every message that isn't a
    SWIM message. ``on_departed(key, instance)`` is called for each peer whose
    run has ended, with the instance that still runs at its address or None.
    ``on_tick(turn)`` is called every 50 ms, after SWIM's own tick.

    Attributes
    ----------
    swim: the failure detector with its table of peers; set by ``open``.
    datagrams: the datagram socket; set by ``open``.
    is_open: whether ``open`` has been called.
    """

    swim: Swim
    datagrams: Datagrams

    def __init__(
        self,
        state: RouterState,
        on_message: Callable[[str, Record], None],
        on_departed: Callable[[str, int | None], None],
        on_tick: Callable[[int], None],
    ) -> None:
        self.state = state
        self.on_message = on_message
        self.on_departed = on_departed
        self.on_tick = on_tick
        self.is_open = False

    async def open(self) -> None:
        """Binds the datagram socket and starts to handle messages; ``run`` may be called after this."""
        state, settings = self.state, self.state.settings
        peer = Peer(state.key, ROUTER, settings.zone, "", state.instance_id, 0, 0)
        self.swim = Swim(peer, state.seeds, SwimTiming.of(settings.bounds.contact), state.random)
        self.is_open = True
        self.datagrams = await Datagrams.open(settings.ip, settings.router_port, self._receive)

    def update_seeds(self) -> None:
        """Passes the seeds of the current settings to SWIM."""
        if self.is_open:
            self.swim.seeds = self.state.seeds

    def close(self) -> None:
        """Announces to the peers that this router leaves, and closes the socket."""
        self._send(self.swim.leave())
        self.datagrams.close()

    def routers(self) -> list[Peer]:
        """Returns the other routers that are alive or suspected."""
        return [peer for peer in self.swim.alive() if peer.role == ROUTER]

    def remembered_routers(self) -> list[str]:
        """Returns the sorted keys of the other routers in the membership table, recently dead ones included."""
        return sorted(key for key, entry in self.swim.table.items() if entry.peer.role == ROUTER)

    def _receive(self, source: str, message: Record) -> None:
        if not isinstance(message, SWIM_MESSAGES):
            self.on_message(source, message)
            return
        self._send(self.swim.receive(monotonic(), source, message))
        self.report_departed()

    def _send(self, messages: Iterable[Send]) -> None:
        for message in messages:
            self.datagrams.send(message.to, message.record)

    def report_departed(self) -> None:
        """Calls ``on_departed`` for each peer whose run has ended since the last call."""
        for key, instance in self.swim.take_departed():
            self.on_departed(key, instance)

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Ticks until ``should_stop()`` is true."""
        turn = 0
        while not should_stop():
            turn += 1
            self._send(self.swim.tick(monotonic()))
            self.report_departed()
            self.on_tick(turn)
            await asyncio.sleep(TICK.total_seconds())
