"""Rate limit for requests to cold backends (``fleet_limit``, ``ColdSends``).

A backend that has just started can serve few requests (``coldPerS`` of its
service), and the limit applies to all routers together. Each router therefore
has a guaranteed share of the limit. The share comes from the primary's table
(``configuration/rate_holders.py``) and never from the observed traffic of other
routers. If there are more routers than requests per second, some routers have a
share of zero for a backend, and which ones differs from backend to backend.
The unused rest of a share is not passed to other routers.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from sparloom.configuration import Service
    from sparloom.settings import ColdBounds

# Window of the rate limit. The limit applies to each second at the backend; the additional 100 ms allow for differences
# in transit time.
WINDOW = timedelta(milliseconds=1100)


def fleet_limit(service: Service | None, bounds: ColdBounds) -> int | None:
    """Returns how many requests per second all routers together may send to a cold backend; None for no limit.

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
    """The times of the requests that this router sent to one backend within the last ``WINDOW``.

    >>> sends, second = ColdSends(), timedelta(seconds=1)
    >>> sends.record(second)
    >>> sends.is_allowed(second, 1), sends.is_allowed(second, 2), sends.is_allowed(3 * second, 1)
    (False, True, True)
    """

    _sent: deque[timedelta] = field(factory=deque)

    def is_allowed(self, now: timedelta, limit: int) -> bool:
        """Whether one more request may be sent now, under a limit of ``limit`` requests per second."""
        while self._sent and now - self._sent[0] >= WINDOW:
            self._sent.popleft()
        return len(self._sent) < limit

    def record(self, now: timedelta) -> None:
        """Counts a request that is sent now."""
        self._sent.append(now)
