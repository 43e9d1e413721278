"""The counters, and the one set that a process may keep.

Growth shows in what a node sends for the others' sake, which no request shows.
The counters are kept where records meet sockets, so that every kind of record
is counted, also one added later. A process that isn't asked to count holds
none, and pays one comparison for each record.
"""

import os
import sys
from datetime import timedelta

from attrs import define, field

_HERE = []


@define(slots=True)
class Meter:
    """Tallies by name: how often, and how many bytes.

    >>> m = Meter(); m.add("datagram out Ping", 40); m.add("datagram out Ping", 60); m.add("opened runner")
    >>> m.figures()
    {'datagram out Ping': [2, 100], 'opened runner': [1, 0]}
    """

    tallies: dict = field(factory=dict)

    def add(self, name, size=0, times=1):
        """Counts an event, of ``size`` bytes.

        >>> m = Meter(); m.add("weighed", times=36); m.figures()
        {'weighed': [36, 0]}
        """
        t = self.tallies.get(name)
        if t is None:
            t = self.tallies[name] = [0, 0]
        t[0] += times
        t[1] += size

    def figures(self):
        """All tallies since the start: ``{name: [times, bytes]}``, by name.

        >>> Meter().figures()
        {}
        """
        return {k: list(self.tallies[k]) for k in sorted(self.tallies)}


def current_meter():
    """This process's meter; None when it keeps none.

    >>> current_meter() is None
    True
    """
    return _HERE[0] if _HERE else None


def count_event(name, times=1):
    """Counts an event, if this process counts at all.

    >>> count_event("opened runner")
    """
    if _HERE:
        _HERE[0].add(name, times=times)


def start_meter(on=True):
    """Starts this process's meter, or ends it; call it before sockets are made.

    >>> start_meter(); current_meter().figures(); start_meter(False); current_meter() is None
    {}
    True
    """
    _HERE[:] = [Meter()] if on else []


def report_interval(environ=os.environ, options=sys._xoptions):
    """How often the figures are logged, as a timedelta; None when nothing is counted.

    Seconds in ``SPARLOOM_METER``, or after ``-X meter=`` where the command line
    is all that can be set. What is no number above 0 counts as off.

    >>> report_interval({"SPARLOOM_METER": "5"}, {}), report_interval({}, {"meter": "0.5"}), report_interval({}, {}), report_interval({"SPARLOOM_METER": "x"}, {})
    (datetime.timedelta(seconds=5), datetime.timedelta(microseconds=500000), None, None)
    """
    try:
        s = float(options.get("meter") or environ.get("SPARLOOM_METER") or 0)
    except (TypeError, ValueError):
        return None
    return timedelta(seconds=s) if 0 < s < 86400 else None
