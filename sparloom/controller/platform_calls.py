"""``PlatformCalls``: calls of the duties to the platform, with the holder's name and a fencing token, rate-limited."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import aiohttp
from absl import logging

from sparloom.transport import monotonic
from sparloom.transport.http_client import Connector, open_session, read_body

if TYPE_CHECKING:
    from datetime import timedelta

    from sparloom.duties import DecidedWindow, ScaleOrder
    from sparloom.settings import Settings

HOLDER_HEADER = "X-Sparloom-Duty-Holder"
FENCE_HEADER = "X-Sparloom-Fence-Number"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
# Maximum call rate of this node, as a fraction of the rate that the platform allows to all nodes together.
RATE_RATIO = 0.5
# Largest body of an answer that is read, so that its connection can be reused; the result is in the status.
MAXIMUM_ANSWER_BYTES = 64 << 10
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class CallResult(Enum):
    """The outcome of a call."""

    ACCEPTED = "the platform has accepted the call"
    FENCED = "the platform has seen a higher fencing token"
    FAILED = "it is unknown whether the platform has accepted the call"
    REFUSED = "the platform has rejected the call, temporarily or permanently"


def result_from_status(status: int) -> CallResult:
    """Return the outcome that an HTTP status stands for.

    >>> result_from_status(200).name, result_from_status(409).name, result_from_status(429).name
    ('ACCEPTED', 'FENCED', 'REFUSED')
    """
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return CallResult.ACCEPTED
    if status == HTTPStatus.CONFLICT:
        return CallResult.FENCED
    return CallResult.FAILED if status >= HTTPStatus.INTERNAL_SERVER_ERROR else CallResult.REFUSED


class PlatformCalls:
    """Makes calls to the platform; a failed call closes its connection.

    Parameters
    ----------
    timeout
        Timeout of a call.
    """

    def __init__(self, settings: Settings, timeout: timedelta) -> None:
        self._settings = settings
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None
        self._next_call_at = monotonic()

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def wait_for_rate(self) -> None:
        """Wait until a call may be made within the rate limit."""
        now = monotonic()
        call_at = max(now, self._next_call_at)
        interval_s = 1 / (self._settings.duties.rate * RATE_RATIO)
        self._next_call_at = call_at + type(call_at)(seconds=interval_s)
        await asyncio.sleep((call_at - now).total_seconds())

    async def report_usage(self, window: DecidedWindow, fence: int) -> CallResult:
        """Send the usage report of a window."""
        return await self._post(USAGE_PATH, fence, {"windowNumber": window.number, "counts": window.counts})

    async def scale(self, order: ScaleOrder) -> CallResult:
        """Send an order that sets the number of runners."""
        body = {"service": order.service, "zone": order.zone, "desiredCount": order.desired}
        return await self._post(SCALE_PATH, order.fence, body)

    async def _post(self, path: str, fence: int, body: dict[str, Any]) -> CallResult:
        platform = self._settings.cloud_api
        if platform is None:
            return CallResult.REFUSED
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._timeout.total_seconds())
            self._session = open_session(Connector(), timeout=timeout)
        headers = {HOLDER_HEADER: self._settings.node, FENCE_HEADER: str(fence), "Content-Type": "application/json"}
        data = json.dumps(body, separators=(",", ":")).encode()
        url = f"http://{platform.address}{path}"
        try:
            async with self._session.post(url, data=data, headers=headers, allow_redirects=False) as response:
                await read_body(response, MAXIMUM_ANSWER_BYTES)
                result = result_from_status(response.status)
        except CALL_ERRORS as error:
            logging.info("duties: call failed path=%s fence=%d error=%s", path, fence, type(error).__name__)
            return CallResult.FAILED
        if result is not CallResult.ACCEPTED:
            logging.info("duties: call not accepted path=%s fence=%d status=%d", path, fence, response.status)
        return result
