"""Counts what a process sends, receives and opens, by kind; off unless asked for."""

from .meter import Meter, count_event, current_meter, report_interval, start_meter

__all__ = ["Meter", "count_event", "current_meter", "report_interval", "start_meter"]
