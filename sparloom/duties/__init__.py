"""Duties at the platform that one node at a time carries out: what is decided about them, before anything is sent."""

from .state import DecidedWindow, DutyState, DutyUpdate, ScaleOrder

__all__ = ["DecidedWindow", "DutyState", "DutyUpdate", "ScaleOrder"]
