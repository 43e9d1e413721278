"""When the table of the routers that share a rate changes, and how. A state machine, one for each term of a primary.

What must hold: the shares by all tables that are in use at one moment add up
to the whole at most. A router uses a table for no longer than the lease after
it was known to be the newest. So once this primary has published a table for
longer than that, nobody uses an older one, and the next may be committed. By
the one each router takes the lesser of its shares among the old holders and
the new ones, so it adds up with both.

While the table is empty nobody has a share, so the first one needs no wait.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.configuration.rate_holders import LEASE_BOUNDS, RATE_WINDOW, RateHolders

from .change_requests import Judgement, Verdict

if TYPE_CHECKING:
    from .control_state import State

# Steady clocks of two machines may differ by this part.
CLOCK_DRIFT = 0.05
# The first table waits until the routers that are seen have been the same for so long, but not for longer than this.
STABLE = timedelta(seconds=2)
STABLE_AT_MOST = timedelta(seconds=10)
# A router that was not seen for so many contact bounds leaves the table.
FORGET_BOUNDS = 150


@define(frozen=True, slots=True)
class RateUpdate:
    """The table that is to follow another one."""

    before: RateHolders
    after: RateHolders

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update, sent again."""
        return self == other


def judge_rate_update(state: State, update: RateUpdate) -> Judgement:
    """What becomes of an update upon a committed state.

    >>> from .control_state import State
    >>> one, other = (RateHolders(frozenset(name), frozenset(name)) for name in "ab")
    >>> judge_rate_update(State({}), RateUpdate(RateHolders(), one)).verdict.name
    'NEW'
    >>> judge_rate_update(State({}).with_rate_holders(other), RateUpdate(RateHolders(), one)).verdict.name
    'STALE'
    """
    present = state.rate_holders or RateHolders()
    if present == update.after:
        return Judgement(Verdict.ALREADY_COMMITTED)
    if present != update.before:
        return Judgement(Verdict.STALE)
    return Judgement(Verdict.NEW, state.with_rate_holders(update.after))


@define(slots=True, eq=False)
class RatePlanner:
    """Plans the next table during one term.

    Attributes
    ----------
    contact_bound
        The contact bound.
    started_at
        When the term began.
    """

    contact_bound: timedelta
    started_at: timedelta
    _table: RateHolders | None = None
    _table_seen_at: timedelta = timedelta(0)
    _routers: frozenset[str] = frozenset()
    _routers_changed_at: timedelta = timedelta(0)
    _seen_at: dict[str, timedelta] = field(factory=dict)

    @property
    def settle_time(self) -> timedelta:
        """For how long a table must have been published until nobody uses an older one."""
        return self.contact_bound * LEASE_BOUNDS * (1 + CLOCK_DRIFT) + 2 * RATE_WINDOW

    def next_table(self, now: timedelta, table: RateHolders, routers: frozenset[str]) -> RateHolders | None:
        """Return the table to commit now, if there is any.

        Parameters
        ----------
        now
            The present time.
        table
            The committed table, which this primary has published.
        routers
            The internal HOST:PORT of each router that is seen alive.
        """
        self._look(now, table, routers)
        if table == RateHolders():
            return RateHolders(routers, routers) if routers and self._is_stable(now) else None
        if now - self._table_seen_at < self.settle_time:
            return None
        kept = frozenset(router for router in table.routers if not self._is_forgotten(now, router))
        after = RateHolders(kept | routers, table.routers)
        return after if after != table else None

    def _look(self, now: timedelta, table: RateHolders, routers: frozenset[str]) -> None:
        if table != self._table:
            self._table, self._table_seen_at = table, now
        if routers != self._routers:
            self._routers, self._routers_changed_at = routers, now
        for router in routers:
            self._seen_at[router] = now

    def _is_stable(self, now: timedelta) -> bool:
        return now - self._routers_changed_at >= STABLE or now - self.started_at >= STABLE_AT_MOST

    def _is_forgotten(self, now: timedelta, router: str) -> bool:
        seen_at = self._seen_at.get(router, self.started_at)
        return now - seen_at >= FORGET_BOUNDS * self.contact_bound
