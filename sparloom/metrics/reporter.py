"""Logs the meter of a program, at an interval and when it stops."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import TYPE_CHECKING, Any

from absl import logging
from mode import Service

from sparloom.metrics import current_meter

if TYPE_CHECKING:
    from datetime import timedelta

# Stands for a figure that the system does not give.
_UNKNOWN = -1


def process_figures() -> dict[str, Any] | None:
    """The figures of the meter and of the process; None when nothing is counted.

    ``cpu`` is in seconds of processor time, ``memory`` in KiB resident,
    ``descriptors`` the number of open files; -1 where the system gives none.

    Examples
    --------
    >>> process_figures() is None
    True
    """
    meter = current_meter()
    if meter is None:
        return None
    return {
        "cpu": round(time.process_time(), 3),
        "memory": _resident_memory(),
        "descriptors": _open_descriptors(),
        **meter.figures(),
    }


def _resident_memory() -> int:
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") // 1024
    except (OSError, ValueError, IndexError):
        return _UNKNOWN


def _open_descriptors() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return _UNKNOWN


class MetricsReporter(Service):
    """Logs a line ``meter: JSON`` at each interval, and a last one at the stop.

    Parameters
    ----------
    node
        The name of the node, shown in each line.
    interval
        The time between two lines.
    """

    def __init__(self, node: str, interval: timedelta) -> None:
        super().__init__()
        self.node, self.interval = node, interval

    @Service.task
    async def _report_at_interval(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.interval.total_seconds())
            self.report()

    async def on_stop(self) -> None:
        """Logs the last line."""
        self.report()

    def report(self) -> None:
        """Logs the figures of this moment."""
        figures = {"node": self.node, **(process_figures() or {})}
        logging.info("meter: %s", json.dumps(figures, separators=(",", ":")))
