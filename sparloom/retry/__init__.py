"""Further tries: what an ending proves, whether another attempt is allowed, the budget."""

from .budget import Budget
from .decision import GiveUp, Plan, Retry, after
from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict, judge_head

__all__ = ["MAY_HAVE_RUN", "NOT_RUN", "RAN", "Budget", "GiveUp", "Plan", "Retry", "Verdict", "after", "judge_head"]
