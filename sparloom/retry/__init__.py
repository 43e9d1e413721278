"""Retries: what the end of an attempt proves, whether a retry is allowed, and the retry budget."""

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
