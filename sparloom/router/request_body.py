"""The body of a client's request: read within the limits, and accounted for until the request has ended.

A body is kept complete, because it may be sent again to another backend.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging
from aiohttp.web import RequestPayloadError

from sparloom.admission import HoldingKind, process_budget
from sparloom.errors import SparloomError
from sparloom.transport import monotonic

if TYPE_CHECKING:
    from types import TracebackType

    from aiohttp.web import BaseRequest

    from sparloom.configuration import RequestLimits

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
# Bytes that are granted before the first ones arrive, where the client declares no length.
UNDECLARED_BYTES = 64 << 10


class RequestBodyError(SparloomError):
    """The request body could not be read completely; ``status`` is the status code of the response."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestBody:
    """The body of one request and the bytes that it takes from the process's budget; used in a ``with`` statement.

    Bytes are granted before they are read, by the declared length. A client
    that sends too slowly is refused when others need its bytes.
    """

    def __init__(self, http_request: BaseRequest) -> None:
        self._http_request = http_request
        self._budget = process_budget()
        self._holding = self._budget.open(HoldingKind.REQUEST_BODIES, http_request.remote or "", monotonic())
        self._declared = http_request.content_length if http_request.body_exists else 0
        self._timeout: asyncio.Timeout | None = None

    def __enter__(self) -> RequestBody:
        """Return the body."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Give the bytes back."""
        self._budget.close(self._holding)

    def reserve(self, limits: RequestLimits) -> None:
        """Take the declared bytes from the budget, as many as the limit allows.

        Raises
        ------
        RequestBodyError: there is no memory for them.
        """
        declared = UNDECLARED_BYTES if self._declared is None else self._declared
        self._grant(min(declared, limits.maximum_body_bytes))

    async def read(self, limits: RequestLimits) -> bytes:
        """Return the complete body; from then on its bytes are not given up for others.

        Raises
        ------
        RequestBodyError: the body is too large or invalid, doesn't arrive within the idle timeout, or was given up.
        """
        if self._declared is not None and self._declared > limits.maximum_body_bytes:
            raise RequestBodyError(
                CONTENT_TOO_LARGE,
                f"request body of {self._declared} bytes exceeds the limit of {limits.maximum_body_bytes}",
            )
        body = bytearray()
        self._holding.evict = self._give_up
        try:
            async with asyncio.timeout(limits.idle_timeout.total_seconds()) as self._timeout:
                async for chunk in self._http_request.content.iter_any():
                    body += chunk
                    self._holding.record_progress(len(chunk), monotonic())
                    self._check_size(len(body), limits)
        except TimeoutError as error:
            if self._holding.evicted:
                raise self._out_of_memory(len(body)) from error
            raise RequestBodyError(
                REQUEST_TIMEOUT, f"request body incomplete after {limits.idle_timeout}, {len(body)} bytes received"
            ) from error
        except RequestPayloadError as error:
            raise RequestBodyError(BAD_REQUEST, f"invalid request body after {len(body)} bytes") from error
        finally:
            self._holding.evict = None
        return bytes(body)

    def _check_size(self, size: int, limits: RequestLimits) -> None:
        if size > limits.maximum_body_bytes:
            raise RequestBodyError(
                CONTENT_TOO_LARGE, f"request body exceeds the limit of {limits.maximum_body_bytes} bytes"
            )
        if size > self._holding.size:
            self._grant(size)

    def _grant(self, size: int) -> None:
        if not self._budget.resize(self._holding, size, monotonic()):
            raise self._out_of_memory(size)

    def _give_up(self) -> None:
        """End the wait for the rest of the body."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)

    def _out_of_memory(self, size: int) -> RequestBodyError:
        logging.log_every_n_seconds(
            logging.INFO,
            "frontend: no memory for a request body peer=%s bytes=%d held=%s",
            1,
            self._holding.peer,
            size,
            self._budget.figures(),
        )
        return RequestBodyError(UNAVAILABLE, f"no memory for a request body of {size} bytes")
