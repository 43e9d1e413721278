"""Counters of the records and connections of a process, by kind; disabled by default."""

from .meter import Meter, count_event, current_meter, report_interval, start_meter

__all__ = ["Meter", "count_event", "current_meter", "report_interval", "start_meter"]
