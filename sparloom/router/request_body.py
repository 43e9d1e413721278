"""Reads the body of a client's request within the configured limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sparloom.errors import SparloomError

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from sparloom.configuration import RequestLimits

CONTENT_TOO_LARGE = 413
REQUEST_TIMEOUT = 408


class RequestBodyError(SparloomError):
    """A body that was not read whole; ``status`` is the one to answer with."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


async def read_body(http_request: BaseRequest, limits: RequestLimits) -> bytes:
    """Return the whole body.

    Raises
    ------
    RequestBodyError: it is larger than the limit, or takes longer to come.
    """
    declared = http_request.content_length or 0
    if declared > limits.body:
        raise RequestBodyError(CONTENT_TOO_LARGE, f"a body of {declared} bytes, expected at most {limits.body}")
    chunks, size = [], 0
    try:
        async with asyncio.timeout(limits.idle.total_seconds()):
            async for chunk in http_request.content.iter_any():
                size += len(chunk)
                if size > limits.body:
                    raise RequestBodyError(CONTENT_TOO_LARGE, f"a body of more than {limits.body} bytes")
                chunks.append(chunk)
    except TimeoutError as error:
        raise RequestBodyError(REQUEST_TIMEOUT, f"{size} bytes of a body, not whole after {limits.idle}") from error
    return b"".join(chunks)
