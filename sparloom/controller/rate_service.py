"""Keeps the table of the routers that share rates while this controller is the primary."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sparloom.configuration.rate_holders import RateHolders
from sparloom.membership import ROUTER
from sparloom.transport import monotonic

from .change_requests import StateUpdate
from .configuration_writer import Acknowledged, Deadline
from .rate_planner import RatePlanner, RateUpdate, judge_rate_update

if TYPE_CHECKING:
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService
    from .control_state import State

STEP = timedelta(milliseconds=500)


def shares_rates(state: State) -> bool:
    """Whether any service bounds what its cold runners are sent by all routers together.

    >>> from .control_state import State
    >>> shares_rates(State({"services": [{"name": "s"}]}))
    False
    >>> shares_rates(State({"services": [{"name": "s", "coldPerS": 4}]}))
    True
    """
    return any(service.get("coldPerS") for service in state.configuration.get("services", []))


class RateService(Service):
    """The table, as far as this controller decides it."""

    def __init__(self, settings: Settings, consensus: ConsensusService, writer: ConfigurationWriter) -> None:
        super().__init__()
        self.settings, self.consensus, self.writer = settings, consensus, writer
        self._term: tuple[int, RatePlanner] | None = None

    def _planner(self) -> RatePlanner | None:
        """The planner of the epoch in which this controller is the primary, made anew with each epoch."""
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self._term = None
            return None
        if self._term is None or self._term[0] != epoch:
            self._term = epoch, RatePlanner(self.settings.bounds.contact, monotonic())
        return self._term[1]

    @Service.task
    async def _keep_table(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(STEP.total_seconds())
            planner, committed = self._planner(), self.writer.committed
            # A state of another epoch has not been published by this primary.
            if planner is None or committed is None or committed.version[0] != self.consensus.leading_epoch():
                continue
            if shares_rates(committed.state):
                await self._update(planner, committed.state.rate_holders or RateHolders())

    async def _update(self, planner: RatePlanner, table: RateHolders) -> None:
        routers = frozenset(peer.key for peer in self.consensus.swim.alive() if peer.role == ROUTER)
        after = planner.next_table(monotonic(), table, routers)
        if after is None:
            return
        update = StateUpdate(RateUpdate(table, after), judge_rate_update)
        outcome = await self.writer.change(update, Deadline.after_body(0))
        if isinstance(outcome, Acknowledged):
            logging.info("rates: table committed routers=%d before=%d", len(after.routers), len(after.before))
