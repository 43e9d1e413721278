"""Counters of events and bytes, and the optional meter of the process.

The counters show the traffic between nodes, which grows with the fleet and is
not visible in any request. Records are counted where they are written to and
read from sockets, so a new kind of record is counted too. In a process without
a meter, each record costs one comparison.
"""

from __future__ import annotations

import os
import sys
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

_SECONDS_PER_DAY = 86400

# The meter of this process; empty while metering is disabled.
_process_meter: list[Meter] = []


@define(slots=True)
class Meter:
    """Counts events and bytes by name.

    Attributes
    ----------
    tallies
        [events, bytes] by name.

    Examples
    --------
    >>> meter = Meter()
    >>> meter.add("datagram out Ping", 40)
    >>> meter.add("datagram out Ping", 60)
    >>> meter.add("opened runner")
    >>> meter.figures()
    {'datagram out Ping': [2, 100], 'opened runner': [1, 0]}
    """

    tallies: dict[str, list[int]] = field(factory=dict)

    def add(self, name: str, size: int = 0, times: int = 1) -> None:
        """Count events.

        Parameters
        ----------
        name
            The name of the events.
        size
            Their total size in bytes.
        times
            The number of events.

        Examples
        --------
        >>> meter = Meter()
        >>> meter.add("weighed", times=36)
        >>> meter.figures()
        {'weighed': [36, 0]}
        """
        tally = self.tallies.get(name)
        if tally is None:
            tally = self.tallies[name] = [0, 0]
        tally[0] += times
        tally[1] += size

    def figures(self) -> dict[str, list[int]]:
        """Return [events, bytes] since the start, sorted by name.

        Examples
        --------
        >>> Meter().figures()
        {}
        """
        return {name: list(self.tallies[name]) for name in sorted(self.tallies)}


def current_meter() -> Meter | None:
    """Return the meter of this process, or None if metering is disabled.

    Examples
    --------
    >>> current_meter() is None
    True
    """
    return _process_meter[0] if _process_meter else None


def count_event(name: str, times: int = 1) -> None:
    """Count events if metering is enabled.

    Examples
    --------
    >>> count_event("opened runner")
    """
    if _process_meter:
        _process_meter[0].add(name, times=times)


def start_meter(on: bool = True) -> None:
    """Start or stop the meter of this process; must be called before sockets are opened.

    Examples
    --------
    >>> start_meter()
    >>> current_meter().figures()
    {}
    >>> start_meter(False)
    >>> current_meter() is None
    True
    """
    _process_meter[:] = [Meter()] if on else []


def report_interval(
    environ: Mapping[str, str] = os.environ, options: Mapping[str, str | bool] = sys._xoptions
) -> timedelta | None:
    """Return how often the meter is logged, or None if metering is disabled.

    ``SPARLOOM_METER`` gives the interval in seconds, less than a day. Where
    only the command line can be set, ``-X meter=`` gives it. A value that is
    not a number above 0 disables metering.

    Examples
    --------
    >>> report_interval({"SPARLOOM_METER": "5"}, {})
    datetime.timedelta(seconds=5)
    >>> report_interval({}, {"meter": "0.5"})
    datetime.timedelta(microseconds=500000)
    >>> report_interval({}, {}), report_interval({"SPARLOOM_METER": "x"}, {})
    (None, None)
    """
    try:
        seconds = float(options.get("meter") or environ.get("SPARLOOM_METER") or 0)
    except (TypeError, ValueError):
        return None
    return timedelta(seconds=seconds) if 0 < seconds < _SECONDS_PER_DAY else None
