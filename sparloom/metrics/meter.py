"""The counters, and the one set of them that a process may keep.

Growth of the fleet shows in what a node sends for the sake of others, which no
request shows. The counters sit where records meet sockets, so that each kind
of record is counted, also one that is added later. A process that is not asked
to count keeps none, and pays one comparison for each record.
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

# Empty, or the meter of this process.
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
        """Counts events.

        Parameters
        ----------
        name
            The kind of the events.
        size
            Their bytes together.
        times
            How many they are.

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
        """[events, bytes] since the start, sorted by name.

        Examples
        --------
        >>> Meter().figures()
        {}
        """
        return {name: list(self.tallies[name]) for name in sorted(self.tallies)}


def current_meter() -> Meter | None:
    """The meter of this process; None when it keeps none.

    Examples
    --------
    >>> current_meter() is None
    True
    """
    return _process_meter[0] if _process_meter else None


def count_event(name: str, times: int = 1) -> None:
    """Counts events, if this process counts at all.

    Examples
    --------
    >>> count_event("opened runner")
    """
    if _process_meter:
        _process_meter[0].add(name, times=times)


def start_meter(on: bool = True) -> None:
    """Starts the meter of this process, or ends it; to be called before sockets are opened.

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
    """How often the figures are logged; None when nothing is counted.

    The interval is given in seconds, less than a day, in ``SPARLOOM_METER``, or
    after ``-X meter=`` where only the command line can be set. What is no
    number above 0 means off.

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
