"""Reads the platform's list of runners for the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from absl import logging

from sparloom.discovery import MAXIMUM_PAGE_BYTES, MAXIMUM_RUNNERS
from sparloom.scheduler.runners import read_listing
from sparloom.transport.http_client import read_json

if TYPE_CHECKING:
    from sparloom.scheduler.runners import RunnerListing

# Most pages of a list that are read.
MAXIMUM_PAGES = 10_000


async def read_all_pages(session: aiohttp.ClientSession, url: str) -> list[RunnerListing] | None:
    """Return the runners of all pages of the list; None if a page can't be read."""
    runners: list[RunnerListing] = []
    token: str | None = None
    pages = 0
    try:
        while True:
            params = {"pageToken": token} if token else {}
            async with session.get(url, params=params, allow_redirects=False) as response:
                document = await read_json(response, MAXIMUM_PAGE_BYTES) if response.status == 200 else None
            page = read_listing(document).value_or(None)
            if page is None:
                return None
            runners += page[0]
            token = page[1]
            pages += 1
            if len(runners) > MAXIMUM_RUNNERS or pages > MAXIMUM_PAGES:
                logging.warning("jobs: the list of runners is too long runners=%d pages=%d", len(runners), pages)
                return None
            if token is None:
                return runners
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        logging.debug("jobs: reading the list of runners failed error=%s", type(error).__name__)
        return None
