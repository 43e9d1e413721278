"""Duties: calls to the platform that one node at a time makes. Their committed state, and the decisions behind it."""

from .state import DecidedWindow, DutyState, DutyUpdate, ScaleOrder

__all__ = ["DecidedWindow", "DutyState", "DutyUpdate", "ScaleOrder"]
