"""Further tries: what an ending proves, whether another dispatch is allowed, the budget."""
from .budget import Budget
from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict, judge_head
from .plan import GiveUp, Plan, Retry, after

__all__ = ["Budget", "GiveUp", "MAY_HAVE_RUN", "NOT_RUN", "Plan", "RAN", "Retry", "Verdict", "after", "judge_head"]
