"""Logs the meter of a program at an interval and when the program stops."""

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

# Reported for a value that the operating system does not provide.
_UNKNOWN = -1


def process_figures() -> dict[str, Any] | None:
    """Return the counters of the meter and the resource usage of the process, or None if metering is disabled.

    ``cpu`` is the processor time in seconds, ``memory`` the resident memory in
    KiB, ``descriptors`` the number of open files. A value that the operating
    system does not provide is -1.

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
    """Logs a line ``meter: JSON`` at each interval and once more when the service stops.

    Parameters
    ----------
    node
        The node name to log.
    interval
        The time between two log lines.
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
        """Log the final counters."""
        self.report()

    def report(self) -> None:
        """Log the current counters and resource usage."""
        figures = {"node": self.node, **(process_figures() or {})}
        logging.info("meter: %s", json.dumps(figures, separators=(",", ":")))
