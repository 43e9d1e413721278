"""The router's membership: SWIM over the datagram socket, and the tick that drives all periodic work."""

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

TICK = timedelta(milliseconds=50)
SWIM_MESSAGES = (Ping, Ack, PingRequest, TableComparison)


class MembershipService:
    """Owns the failure detector, the datagram socket and the tick.

    ``on_message(source, message)`` gets every message that isn't SWIM's own,
    ``on_departed(key, instance)`` each peer whose run has ended (with the
    instance that goes on there, or None), and ``on_tick(turn)`` is called
    every 50 ms, after SWIM's own tick.

    Attributes
    ----------
    swim: beliefs about the other processes; set by ``open``.
    datagrams: the socket that messages are sent from; set by ``open``.
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
        """Binds the datagram socket; messages are handled from now on, and ``run`` may begin."""
        state, settings = self.state, self.state.settings
        peer = Peer(state.key, ROUTER, settings.zone, "", state.instance_id, 0, 0)
        self.swim = Swim(peer, state.seeds, SwimTiming.of(settings.bounds.contact), state.random)
        self.is_open = True
        self.datagrams = await Datagrams.open(settings.ip, settings.router_port, self._receive)

    def update_seeds(self) -> None:
        """Takes the seeds of the present settings."""
        if self.is_open:
            self.swim.seeds = self.state.seeds

    def close(self) -> None:
        """Tells the others that this router leaves, and closes the socket."""
        self._send(self.swim.leave())
        self.datagrams.close()

    def routers(self) -> list[Peer]:
        """The other routers that are believed up, suspects included."""
        return [peer for peer in self.swim.alive() if peer.role == ROUTER]

    def remembered_routers(self) -> list[str]:
        """The keys of the other routers in the membership's table, those that have died of late included; sorted."""
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
        """Reports the peers whose run has ended since the last call."""
        for key, instance in self.swim.take_departed():
            self.on_departed(key, instance)

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Ticks until told to stop."""
        turn = 0
        while not should_stop():
            turn += 1
            self._send(self.swim.tick(monotonic()))
            self.report_departed()
            self.on_tick(turn)
            await asyncio.sleep(TICK.total_seconds())
