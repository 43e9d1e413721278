"""How many requests this router may send to a cold backend within a second.

A backend that has just started bears few requests (``coldPerS`` of its
service), and the bound on them counts those of all routers together. So each
router has a share of them that is sure, by the table that the primary keeps
(``configuration/rate_holders.py``) and never by what others were seen to send:
with more routers than requests a part of the routers may send none, others for
each backend. What a router doesn't use of its share is lost.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from sparloom.configuration import Service
    from sparloom.settings import ColdBounds

# The bound is over each second; requests may take this much longer or shorter on their way.
WINDOW = timedelta(milliseconds=1100)


def fleet_limit(service: Service | None, bounds: ColdBounds) -> int | None:
    """How many requests all routers together may send to a cold backend within a second; None for any number.

    >>> from sparloom.configuration import Service
    >>> from sparloom.settings import ColdBounds
    >>> fleet_limit(Service("s", cold_rate=16.0), ColdBounds(1.5, 5)), fleet_limit(None, ColdBounds())
    (29, None)
    """
    if service is None or not service.cold_rate:
        return None
    return int(service.cold_rate * bounds.overage + bounds.slack)


@define(slots=True, eq=False)
class ColdSends:
    """The requests that this router sent to one backend a short while ago.

    >>> sends, second = ColdSends(), timedelta(seconds=1)
    >>> sends.note(second)
    >>> sends.allows(second, 1), sends.allows(second, 2), sends.allows(3 * second, 1)
    (False, True, True)
    """

    _sent: deque[timedelta] = field(factory=deque)

    def allows(self, now: timedelta, limit: int) -> bool:
        """Whether one more may be sent now, where ``limit`` may be within a second."""
        while self._sent and now - self._sent[0] >= WINDOW:
            self._sent.popleft()
        return len(self._sent) < limit

    def note(self, now: timedelta) -> None:
        """Count a request that is sent now."""
        self._sent.append(now)
