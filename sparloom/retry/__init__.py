"""Retries: whether a failed attempt may have run, whether to retry it, and the retry budget."""

from .budget import RetryBudget
from .decision import GiveUp, Retry, RetryContext, next_step
from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict, judge_head

__all__ = [
    "MAY_HAVE_RUN",
    "NOT_RUN",
    "RAN",
    "GiveUp",
    "Retry",
    "RetryBudget",
    "RetryContext",
    "Verdict",
    "judge_head",
    "next_step",
]
