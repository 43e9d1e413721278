"""Keeps the prompts of members apart: which lives of runners may serve which member's prompt."""

from .generation import COMMON, Generation, Isolation, part_ids
from .settings import parse_isolation

__all__ = ["COMMON", "Generation", "Isolation", "parse_isolation", "part_ids"]
