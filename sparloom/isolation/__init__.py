"""Tenant isolation: restricts which runner instances may serve a member's prompt."""

from .generation import UNDECLARED, Generation, Isolation, part_ids
from .settings import parse_isolation

__all__ = ["UNDECLARED", "Generation", "Isolation", "parse_isolation", "part_ids"]
