"""Logs a program's meter, at an interval and at the stop."""

import asyncio
import json
import os
import time

from absl import logging
from mode import Service

from sparloom.metrics import current_meter


def process_figures():
    """The meter's figures with the process's own: processor seconds, memory in kB, descriptors.

    None when nothing is counted; a figure that the system doesn't tell is -1.

    >>> process_figures() is None
    True
    """
    m = current_meter()
    return m and {
        "cpu": round(time.process_time(), 3),
        "memory": _memory(),
        "descriptors": _descriptors(),
        **m.figures(),
    }


def _memory():
    try:
        with open("/proc/self/statm", "rb") as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGESIZE") // 1024
    except (OSError, ValueError, IndexError):
        return -1


def _descriptors():
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1


class MetricsReporter(Service):
    """The log lines, each ``meter: JSON``."""

    def __init__(self, node, span):
        super().__init__()
        self.node, self.span = node, span

    @Service.task
    async def _log(self):
        while not self.should_stop:
            await asyncio.sleep(self.span.total_seconds())
            self.tell()

    async def on_stop(self):
        self.tell()

    def tell(self):
        """Logs the figures of this moment."""
        logging.info("meter: %s", json.dumps({"node": self.node, **process_figures()}, separators=(",", ":")))
