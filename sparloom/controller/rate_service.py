"""Updates the table of rate holders while this controller is the primary."""

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
from .rate_planner import RatePlanner, RateUpdate, evaluate_rate_update

if TYPE_CHECKING:
    from sparloom.settings import Settings

    from .configuration_writer import ConfigurationWriter
    from .consensus_service import ConsensusService
    from .control_state import State

UPDATE_INTERVAL = timedelta(milliseconds=500)


def has_cold_rate_limit(state: State) -> bool:
    """Whether any service limits the total request rate of all routers to its cold runners.

    >>> from .control_state import State
    >>> has_cold_rate_limit(State({"services": [{"name": "s"}]}))
    False
    >>> has_cold_rate_limit(State({"services": [{"name": "s", "coldPerS": 4}]}))
    True
    """
    return any(service.get("coldPerS") for service in state.configuration.get("services", []))


class RateService(Service):
    """Commits new tables of rate holders, as planned by a ``RatePlanner`` for each epoch."""

    def __init__(self, settings: Settings, consensus: ConsensusService, writer: ConfigurationWriter) -> None:
        super().__init__()
        self.settings, self.consensus, self.writer = settings, consensus, writer
        self._epoch_planner: tuple[int, RatePlanner] | None = None

    def _planner(self) -> RatePlanner | None:
        """The planner of the current epoch; None if this controller is not the primary."""
        epoch = self.consensus.leading_epoch()
        if epoch is None:
            self._epoch_planner = None
            return None
        if self._epoch_planner is None or self._epoch_planner[0] != epoch:
            self._epoch_planner = epoch, RatePlanner(self.settings.bounds.contact, monotonic())
        return self._epoch_planner[1]

    @Service.task
    async def _update_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(UPDATE_INTERVAL.total_seconds())
            planner, committed = self._planner(), self.writer.committed
            # This primary has not published a state of a different epoch.
            if planner is None or committed is None or committed.version[0] != self.consensus.leading_epoch():
                continue
            if has_cold_rate_limit(committed.state):
                await self._update(planner, committed.state.rate_holders or RateHolders())

    async def _update(self, planner: RatePlanner, table: RateHolders) -> None:
        routers = frozenset(peer.key for peer in self.consensus.swim.alive() if peer.role == ROUTER)
        after = planner.next_table(monotonic(), table, routers)
        if after is None:
            return
        update = StateUpdate(RateUpdate(table, after), evaluate_rate_update)
        outcome = await self.writer.change(update, Deadline.after_body(0))
        if isinstance(outcome, Acknowledged):
            logging.info("rates: table committed routers=%d before=%d", len(after.routers), len(after.previous_routers))
