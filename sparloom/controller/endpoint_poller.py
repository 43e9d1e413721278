"""Polls the platform for the endpoint list; only the primary does so."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from absl import logging
from mode import Service

from sparloom.discovery import (
    MAXIMUM_PAGE_BYTES,
    EndpointList,
    ListTooLongError,
    PageAssembler,
    PollSchedule,
    read_page,
    versions_listed,
)
from sparloom.feed import ENDPOINTS
from sparloom.transport import monotonic
from sparloom.transport.http_client import Connector, open_session, read_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.discovery import Endpoint
    from sparloom.settings import Settings
    from sparloom.settings.model import CloudApi

    from .consensus_service import ConsensusService
    from .feed_server import FeedServer

# The interval at which a controller that is not the primary checks whether it has become the primary.
NOT_PRIMARY_PAUSE_S = 0.05
# The timeout of a request is the contact bound divided by this number.
TIMEOUTS_PER_CONTACT_BOUND = 3
# Stands in for the HTTP status of a request that failed without a response.
NO_RESPONSE_STATUS = 0


class PollOutcome(NamedTuple):
    """The outcome of the request for one page.

    Attributes
    ----------
    more_pages : bool
        Whether the list has further pages to request.
    rate_limited : bool
        Whether the platform rejected the request because of its rate limit.
    """

    more_pages: bool
    rate_limited: bool


class EndpointPoller(Service):
    """Polls within the platform's rate limit while this controller is the primary.

    A page belongs to the epoch in which it was requested. If the epoch has
    changed when the page arrives, or this controller is no longer the primary,
    the page and all earlier pages of the list are discarded. A list is therefore
    never assembled from pages of two epochs or published under a different epoch.

    Attributes
    ----------
    last_published : EndpointList or None
        The last list published in this epoch.
    epoch : int
        The epoch of the current pages.
    number : int
        The number of the last list within the epoch; epoch and number form the version of the list.
    pages : PageAssembler
        The pages received of an incomplete list.
    versions : dict
        The versions of each service in the newest list of this epoch; empty if versions are not used.

    Parameters
    ----------
    fleet_size
        Returns the number of routers that share the endpoints.
    assign_pools
        Assigns the runners of a list to pools by their version; None if versions are not used.
    """

    def __init__(
        self,
        settings: Settings,
        consensus: ConsensusService,
        feed_server: FeedServer,
        fleet_size: Callable[[], int] = lambda: 0,
        assign_pools: Callable[[list[Endpoint]], list[Endpoint]] | None = None,
    ) -> None:
        super().__init__()
        self.assign_pools = assign_pools
        self.versions: dict[str, set[str]] = {}
        self.settings, self.consensus, self.feed_server, self.fleet_size = settings, consensus, feed_server, fleet_size
        self.last_published: EndpointList | None = None
        self.epoch, self.number = 0, 0
        self.pages = PageAssembler()
        self.session: aiohttp.ClientSession | None = None
        self._failure_logged = False

    async def on_stop(self) -> None:
        """Closes the connections to the platform."""
        if self.session:
            await self.session.close()

    @property
    def last_version(self) -> tuple[int, int]:
        """The version of the last published list: epoch and number."""
        return self.epoch, self.number

    @Service.task
    async def _poll(self) -> None:
        platform = self.settings.cloud_api
        if platform is None:
            return
        schedule = PollSchedule.of(platform.rate, self.settings.bounds.drain)
        while not self.should_stop:
            epoch = self.consensus.leading_epoch()
            self.enter_epoch(epoch)
            if epoch is None:
                await asyncio.sleep(NOT_PRIMARY_PAUSE_S)
                continue
            await asyncio.sleep(max(0.0, (schedule.next_call - monotonic()).total_seconds()))
            if self.consensus.leading_epoch() != epoch:
                continue
            if self.pages.token is None:
                schedule.round_started_at = max(schedule.round_started_at, monotonic())
            # Read before the request, because the period is measured from the start of a request, not its end.
            now = monotonic()
            outcome = await self.poll_page(platform, epoch)
            schedule.on_response(now, outcome.more_pages, outcome.rate_limited)

    def enter_epoch(self, epoch: int | None) -> None:
        """Sets the epoch in which this controller is the primary; None while it is not.

        List numbers continue within an epoch and restart with the next epoch.
        """
        if epoch is None:
            self.last_published, self.pages, self.versions = None, PageAssembler(), {}
        elif epoch != self.epoch:
            self.epoch, self.number, self.last_published, self.pages, self.versions = (
                epoch,
                0,
                None,
                PageAssembler(),
                {},
            )

    async def poll_page(self, platform: CloudApi, epoch: int) -> PollOutcome:
        """Requests one page and publishes the list after the last page."""
        status, document = await self._request_page(platform)
        if self.consensus.leading_epoch() != epoch:
            self.pages = PageAssembler()
            return PollOutcome(more_pages=False, rate_limited=False)
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            return PollOutcome(more_pages=False, rate_limited=True)
        by_version = self.assign_pools is not None
        page = read_page(document, by_version).value_or(None) if status == HTTPStatus.OK else None
        if page is None:
            self._discard_pages(f"status {status}" if status != HTTPStatus.OK else "invalid page")
            return PollOutcome(more_pages=False, rate_limited=False)
        try:
            more_pages = self._add_page(*page)
        except ListTooLongError as error:
            self._discard_pages(str(error))
            return PollOutcome(more_pages=False, rate_limited=False)
        self._failure_logged = False
        return PollOutcome(more_pages=more_pages, rate_limited=False)

    async def _request_page(self, platform: CloudApi) -> tuple[int, Any]:
        """The status and JSON document of one page; the status is ``NO_RESPONSE_STATUS`` if there was no response.

        A failed request closes its connection, so a late response is never
        mistaken for the response to the next request.
        """
        if self.session is None:
            timeout_s = self.settings.bounds.contact.total_seconds() / TIMEOUTS_PER_CONTACT_BOUND
            self.session = open_session(Connector(), timeout=aiohttp.ClientTimeout(total=timeout_s))
        params = {"pageToken": self.pages.token} if self.pages.token else {}
        url = f"http://{platform.address}/instances"
        try:
            async with self.session.get(url, params=params, allow_redirects=False) as response:
                if response.status != HTTPStatus.OK:
                    return response.status, None
                return response.status, await read_json(response, MAXIMUM_PAGE_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logging.debug("platform: request failed error=%s", type(error).__name__)
            return NO_RESPONSE_STATUS, None

    def _discard_pages(self, reason: str) -> None:
        """Discards the pages of a failed poll, so that the next request is for the first page."""
        if not self._failure_logged:
            logging.warning("platform: poll failed reason=%r", reason)
        self._failure_logged, self.pages = True, PageAssembler()

    def _add_page(self, endpoints: list[Endpoint], token: str | None) -> bool:
        """Adds a page and publishes the list after the last one; returns whether more pages follow."""
        complete = self.pages.add(endpoints, token)
        if complete is None:
            return True
        endpoint_list = EndpointList(self._prepare_runners(complete.runners), self.fleet_size())
        if endpoint_list.differs_from(self.last_published):
            self.last_published, self.number = endpoint_list, self.number + 1
            draining = [endpoint.id for endpoint in endpoint_list.runners if endpoint.draining]
            logging.info("platform: list published version=%d.%d draining=%s", *self.last_version, ",".join(draining))
            self.feed_server.publish(ENDPOINTS, self.last_version, endpoint_list)
        return False

    def _prepare_runners(self, runners: list[Endpoint]) -> list[Endpoint]:
        """The runners of a complete list, assigned to pools if versions are used; also updates ``versions``."""
        if self.assign_pools is None:
            return runners
        self.versions = versions_listed(runners)
        return self.assign_pools(runners)
