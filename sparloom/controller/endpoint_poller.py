"""Polls the platform for the endpoint list, a singleton role of the primary."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from absl import logging
from mode import Service

from sparloom.discovery import EndpointList, PageAssembler, PollSchedule, read_page, versions_listed
from sparloom.feed import ENDPOINTS
from sparloom.transport import monotonic
from sparloom.transport.http_client import Connector, open_session

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.discovery import Endpoint
    from sparloom.settings import Settings
    from sparloom.settings.model import CloudApi

    from .consensus_service import ConsensusService
    from .feed_server import FeedServer

NOT_PRIMARY_PAUSE_S = 0.05
# So many requests that get no answer fit into the contact bound.
TIMEOUTS_PER_CONTACT_BOUND = 3
NO_ANSWER = 0


class PollOutcome(NamedTuple):
    """What one request for a page led to.

    Attributes
    ----------
    more_pages : bool
        Whether the list goes on, so that the next page is to be requested.
    rate_limited : bool
        Whether the platform rejected the request as over its rate.
    """

    more_pages: bool
    rate_limited: bool


class EndpointPoller(Service):
    """Polls within the platform's rate while this controller is the primary.

    Every page belongs to one epoch: that in which it was requested. When the
    epoch has changed by the time it arrives, or this controller is no longer
    the primary, the page is dropped with all that came before it. So a list is
    never put together from pages of two epochs, and none is published under an
    epoch other than that of its poller.

    Attributes
    ----------
    last : EndpointList or None
        The list that was published last in this epoch.
    epoch : int
        The epoch of the pages at hand.
    number : int
        The number of the last list within the epoch; both are its version.
    pages : PageAssembler
        The pages of a list that is not complete yet.
    versions : dict
        The versions of each service in the newest list of this epoch; empty where versions don't matter.

    Parameters
    ----------
    fleet_size
        Gives the number of routers that share the endpoints.
    in_pools
        Puts the runners of a list that was read by version into their pools; None where versions don't matter.
    """

    def __init__(
        self,
        settings: Settings,
        consensus: ConsensusService,
        feed_server: FeedServer,
        fleet_size: Callable[[], int] = lambda: 0,
        in_pools: Callable[[list[Endpoint]], list[Endpoint]] | None = None,
    ) -> None:
        super().__init__()
        self.in_pools = in_pools
        self.versions: dict[str, set[str]] = {}
        self.settings, self.consensus, self.feed_server, self.fleet_size = settings, consensus, feed_server, fleet_size
        self.last: EndpointList | None = None
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
        """The version of the list that was published last: epoch and number."""
        return self.epoch, self.number

    @Service.task
    async def _poll(self) -> None:
        platform = self.settings.cloud
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
            # Taken before the request: the next one is due a period after this one began, not after it ended.
            now = monotonic()
            outcome = await self.poll_page(platform, epoch)
            schedule.on_response(now, outcome.more_pages, outcome.rate_limited)

    def enter_epoch(self, epoch: int | None) -> None:
        """Notes the epoch in which this controller is the primary; None while it is not.

        Numbers go on within an epoch and start anew with the next one.
        """
        if epoch is None:
            self.last, self.pages, self.versions = None, PageAssembler(), {}
        elif epoch != self.epoch:
            self.epoch, self.number, self.last, self.pages, self.versions = epoch, 0, None, PageAssembler(), {}

    async def poll_page(self, platform: CloudApi, epoch: int) -> PollOutcome:
        """Requests one page, and publishes the list if it was the last one."""
        status, document = await self._request_page(platform)
        if self.consensus.leading_epoch() != epoch:
            self.pages = PageAssembler()
            return PollOutcome(more_pages=False, rate_limited=False)
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            return PollOutcome(more_pages=False, rate_limited=True)
        by_version = self.in_pools is not None
        page = read_page(document, by_version).value_or(None) if status == HTTPStatus.OK else None
        if page is None:
            self._restart(f"status {status}" if status != HTTPStatus.OK else "a page can't be read")
            return PollOutcome(more_pages=False, rate_limited=False)
        self._failure_logged = False
        return PollOutcome(more_pages=self._add_page(*page), rate_limited=False)

    async def _request_page(self, platform: CloudApi) -> tuple[int, Any]:
        """The status and the JSON document of one page; status ``NO_ANSWER`` when none came.

        A request that fails takes its connection with it, so a late answer
        can't be taken for that of the next one.
        """
        if self.session is None:
            timeout_s = self.settings.bounds.contact.total_seconds() / TIMEOUTS_PER_CONTACT_BOUND
            self.session = open_session(Connector(), timeout=aiohttp.ClientTimeout(total=timeout_s))
        params = {"pageToken": self.pages.token} if self.pages.token else {}
        url = f"http://{platform.address}/instances"
        try:
            async with self.session.get(url, params=params, allow_redirects=False) as response:
                document = await response.json(content_type=None) if response.status == HTTPStatus.OK else None
                return response.status, document
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logging.debug("platform: request failed error=%s", type(error).__name__)
            return NO_ANSWER, None

    def _restart(self, reason: str) -> None:
        """Drops the pages of a failed poll: the next request is for the first page again."""
        if not self._failure_logged:
            logging.warning("platform: poll failed reason=%r", reason)
        self._failure_logged, self.pages = True, PageAssembler()

    def _add_page(self, endpoints: list[Endpoint], token: str | None) -> bool:
        """Adds a page and publishes the list after the last one; returns whether more pages follow."""
        complete = self.pages.add(endpoints, token)
        if complete is None:
            return True
        endpoint_list = EndpointList(self._published(complete.runners), self.fleet_size())
        if endpoint_list.differs_from(self.last):
            self.last, self.number = endpoint_list, self.number + 1
            draining = [endpoint.id for endpoint in endpoint_list.runners if endpoint.draining]
            logging.info("platform: list published version=%d.%d draining=%s", *self.last_version, ",".join(draining))
            self.feed_server.publish(ENDPOINTS, self.last_version, endpoint_list)
        return False

    def _published(self, runners: list[Endpoint]) -> list[Endpoint]:
        """The runners of a complete list as they are published; notes which versions there are."""
        if self.in_pools is None:
            return runners
        self.versions = versions_listed(runners)
        return self.in_pools(runners)
