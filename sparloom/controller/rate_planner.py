"""Plans changes of the table of rate holders, the routers that share a rate limit.

``RatePlanner`` is a state machine with one instance per term of a primary.

Invariant: the shares under all tables in use at the same time add up to at most
the limit. A router uses a table only for the duration of the lease after the
table was confirmed as the newest. Once the primary has published a table for
longer than the lease, no router uses an older one, and the next table may be
committed. Under a new table each router takes the smaller of its shares among
the previous and the new holders, so the total holds with either table.

No router has a share under the empty table, so the first table needs no wait.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.configuration.rate_holders import LEASE_CONTACT_BOUNDS, RATE_WINDOW, RateHolders

from .change_requests import ChangeEvaluation, ChangeVerdict

if TYPE_CHECKING:
    from .control_state import State

# The maximum relative drift between the monotonic clocks of two machines.
CLOCK_DRIFT_RATIO = 0.05
# The first table is committed once the set of live routers has not changed for this time.
STABLE_PERIOD = timedelta(seconds=2)
# The first table is committed at the latest this long after the start of the term.
MAXIMUM_STABILITY_WAIT = timedelta(seconds=10)
# A router that was not seen alive for this many contact bounds is removed from the table.
REMOVAL_CONTACT_BOUNDS = 150


@define(frozen=True, slots=True)
class RateUpdate:
    """An update from one table to the next."""

    before: RateHolders
    after: RateHolders

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other update."""
        return self == other


def evaluate_rate_update(state: State, update: RateUpdate) -> ChangeEvaluation:
    """Evaluates an update against a committed state.

    >>> from .control_state import State
    >>> first, second = (RateHolders(frozenset(name), frozenset(name)) for name in "ab")
    >>> evaluate_rate_update(State({}), RateUpdate(RateHolders(), first)).verdict.name
    'NEW'
    >>> evaluate_rate_update(State({}).with_rate_holders(second), RateUpdate(RateHolders(), first)).verdict.name
    'STALE'
    """
    current = state.rate_holders or RateHolders()
    if current == update.after:
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    if current != update.before:
        return ChangeEvaluation(ChangeVerdict.STALE)
    return ChangeEvaluation(ChangeVerdict.NEW, state.with_rate_holders(update.after))


@define(slots=True, eq=False)
class RatePlanner:
    """Plans the tables of one term.

    Attributes
    ----------
    contact_bound
        The contact bound.
    started_at
        The start of the term.
    """

    contact_bound: timedelta
    started_at: timedelta
    _observed_table: RateHolders | None = None
    _table_observed_at: timedelta = timedelta(0)
    _live_routers: frozenset[str] = frozenset()
    _live_routers_changed_at: timedelta = timedelta(0)
    _last_live_at: dict[str, timedelta] = field(factory=dict)

    @property
    def replacement_delay(self) -> timedelta:
        """The time after which no router uses an older table than the published one."""
        return self.contact_bound * LEASE_CONTACT_BOUNDS * (1 + CLOCK_DRIFT_RATIO) + 2 * RATE_WINDOW

    def next_table(self, now: timedelta, table: RateHolders, routers: frozenset[str]) -> RateHolders | None:
        """Returns the table to commit now, or None.

        Parameters
        ----------
        now
            The current time.
        table
            The committed table, which this primary has published.
        routers
            The internal addresses, HOST:PORT, of the live routers.
        """
        self._observe(now, table, routers)
        if table == RateHolders():
            return RateHolders(routers, routers) if routers and self._is_stable(now) else None
        if now - self._table_observed_at < self.replacement_delay:
            return None
        retained = frozenset(router for router in table.routers if not self._is_expired(now, router))
        after = RateHolders(retained | routers, table.routers)
        return after if after != table else None

    def _observe(self, now: timedelta, table: RateHolders, routers: frozenset[str]) -> None:
        if table != self._observed_table:
            self._observed_table, self._table_observed_at = table, now
        if routers != self._live_routers:
            self._live_routers, self._live_routers_changed_at = routers, now
        for router in routers:
            self._last_live_at[router] = now

    def _is_stable(self, now: timedelta) -> bool:
        return now - self._live_routers_changed_at >= STABLE_PERIOD or now - self.started_at >= MAXIMUM_STABILITY_WAIT

    def _is_expired(self, now: timedelta, router: str) -> bool:
        last_live_at = self._last_live_at.get(router, self.started_at)
        return now - last_live_at >= REMOVAL_CONTACT_BOUNDS * self.contact_bound
