"""The body of an operator's request: read within its limits, and accounted for while it is parsed and applied."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

from absl import logging
from aiohttp.web import RequestPayloadError

from sparloom.admission import HoldingKind, process_budget
from sparloom.errors import SparloomError
from sparloom.transport import monotonic
from sparloom.transport.http_client import parsed_size_bound

from .offload import run_offloaded

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from aiohttp.web import BaseRequest

T = TypeVar("T")

MAXIMUM_BODY_BYTES = 16 << 20
# A request fails with 408 when no further part of its body arrives within this time.
BODY_READ_TIMEOUT = timedelta(seconds=5)


class OperatorBodyError(SparloomError):
    """The body could not be read completely; ``status`` is the status of the response."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        super().__init__(message)
        self.status = status


class OperatorBody:
    """The body of one request and the bytes that it takes from the process's budget; used in a ``with`` statement.

    The bytes that its values take once they are parsed are included, until the request has ended.
    """

    def __init__(self, request: BaseRequest) -> None:
        self._request = request
        self._budget = process_budget()
        self._holding = self._budget.open(HoldingKind.REQUEST_BODIES, request.remote or "", monotonic())
        self._timeout: asyncio.Timeout | None = None
        self._work: asyncio.Task[Any] | None = None

    def __enter__(self) -> OperatorBody:
        """Return the body."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Give the bytes back, once no thread works on them."""
        if self._work is None or self._work.done():
            self._budget.close(self._holding)
        else:
            self._work.add_done_callback(lambda _: self._budget.close(self._holding))

    async def offload(self, is_slow: bool, function: Callable[..., T], *args: object) -> T:
        """Run a function on the body, in a thread if it is slow; the bytes are held until it ends.

        A client that disconnects ends the wait, but not the thread.
        """
        work = asyncio.get_running_loop().create_task(run_offloaded(is_slow, function, *args))
        self._work = work
        return await asyncio.shield(work)

    async def read_document(self) -> bytes:
        """Return the complete body, with room for the values of a JSON document.

        Raises
        ------
        OperatorBodyError
            It is too large or invalid, doesn't arrive in time, or there is no memory for it.
        """
        body = await self._read()
        size = parsed_size_bound(body)
        if size > self._budget.capacity:
            raise OperatorBodyError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body has too many values")
        self._grant(size)
        return body

    async def _read(self) -> bytes:
        self._check_size(self._request.content_length or 0)
        body = bytearray()
        self._holding.evict = self._give_up
        try:
            while chunk := await self._read_chunk():
                body += chunk
                self._check_size(len(body))
                self._holding.record_progress(len(chunk), monotonic())
                self._grant(len(body))
        finally:
            self._holding.evict = None
        return bytes(body)

    async def _read_chunk(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        try:
            async with asyncio.timeout(BODY_READ_TIMEOUT.total_seconds()) as self._timeout:
                return await self._request.content.readany()
        except TimeoutError as failure:
            if self._holding.evicted:
                raise self._out_of_memory(0) from failure
            raise OperatorBodyError(HTTPStatus.REQUEST_TIMEOUT, "timed out while reading the body") from failure
        except RequestPayloadError as failure:
            raise OperatorBodyError(HTTPStatus.BAD_REQUEST, "the body can't be read") from failure

    def _give_up(self) -> None:
        """End the wait for the rest of the body."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)

    @staticmethod
    def _check_size(size: int) -> None:
        if size > MAXIMUM_BODY_BYTES:
            raise OperatorBodyError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body is larger than {MAXIMUM_BODY_BYTES} bytes"
            )

    def _grant(self, size: int) -> None:
        if not self._budget.resize(self._holding, size, monotonic()):
            raise self._out_of_memory(size)

    def _out_of_memory(self, size: int) -> OperatorBodyError:
        logging.info(
            "control: no memory for a body peer=%s bytes=%d held=%s", self._holding.peer, size, self._budget.figures()
        )
        return OperatorBodyError(HTTPStatus.SERVICE_UNAVAILABLE, "no memory is left for the body; send it again")
