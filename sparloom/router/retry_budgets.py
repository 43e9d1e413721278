"""Retry budgets, one per service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sparloom.retry import RetryBudget

if TYPE_CHECKING:
    from .router_state import RouterState


class RetryBudgets:
    """The retry budgets of this router.

    A budget is made when its service is first asked for, by the settings of
    that moment; it counts from the start of the process.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            bounds = self._state.settings.bounds
            budget = RetryBudget(bounds.budget_window, bounds.budget_ratio, bounds.budget_slack, self._state.started_at)
            self._by_service[service] = budget
        return budget
