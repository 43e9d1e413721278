"""The duty of asking the platform for the runners, done by the primary alone."""

import asyncio

import aiohttp
from absl import logging
from mode import Service

from sparloom.discovery import EndpointList, PageAssembler, PollSchedule, read_page
from sparloom.feed import ENDPOINTS
from sparloom.transport import monotonic
from sparloom.transport.http_client import Connector, open_session

NOT_PRIMARY_PAUSE = 0.05


class EndpointPoller(Service):
    """Polls within the rate while this controller is the primary.

    Every page belongs to one epoch: that in which it was asked for. When the
    epoch has changed by the time it arrives, or this controller is no longer
    the primary, the page is dropped with all that came before it. So a list is
    never put together from pages of two epochs, and none is published under an
    epoch other than that of its poller.
    """

    def __init__(self, up, core, shop, crowd=lambda: 0):
        super().__init__()
        self.up, self.core, self.shop, self.crowd = up, core, shop, crowd
        self.last, self.epoch, self.number = None, 0, 0
        self.pages, self.session, self.grumbled = PageAssembler(), None, False

    async def on_stop(self):
        if self.session:
            await self.session.close()

    def primary_epoch(self):
        """The epoch in which this controller is the primary at this moment, or None."""
        ledger = self.core.ledger
        return ledger.leadership.epoch if ledger.leading() else None

    @Service.task
    async def _run(self):
        cloud = self.up.cloud
        if cloud is None:
            return
        pace = PollSchedule.of(cloud.rate, self.up.bounds.drain)
        while not self.should_stop:
            epoch = self.primary_epoch()
            self.enter(epoch)
            if epoch is None:
                await asyncio.sleep(NOT_PRIMARY_PAUSE)
                continue
            await asyncio.sleep(max(0.0, (pace.next_call - monotonic()).total_seconds()))
            if self.primary_epoch() != epoch:
                continue
            pace.round_started_at = (
                max(pace.round_started_at, monotonic()) if self.pages.token is None else pace.round_started_at
            )
            pace.on_response(monotonic(), *await self.call(cloud, epoch))

    def enter(self, epoch):
        """Notes the epoch of this controller's duty; None while it has none.

        Numbers go on within an epoch and start anew with the next one.
        """
        if epoch is None:
            self.last, self.pages = None, PageAssembler()
        elif epoch != self.epoch:
            self.epoch, self.number, self.last, self.pages = epoch, 0, None, PageAssembler()

    async def call(self, cloud, epoch):
        """Asks for one page; tells whether more pages follow, and whether the call was over the rate."""
        status, document = await self._ask(cloud)
        if self.primary_epoch() != epoch:
            self.pages = PageAssembler()
            return False, False
        if status == 429:
            return False, True
        page = read_page(document).value_or(None) if status == 200 else None
        if page is None:
            self._restart(f"status {status}" if status != 200 else "a page can't be read")
            return False, False
        self.grumbled = False
        return self._take(page), False

    async def _ask(self, cloud):
        """The status and the document of one page; status 0 when there was no answer.

        A call that fails takes its connection with it, so a late answer can't
        come in the place of the next one.
        """
        if self.session is None:
            wait = aiohttp.ClientTimeout(total=self.up.bounds.contact.total_seconds() / 3)
            self.session = open_session(Connector(), timeout=wait)
        params = {"pageToken": self.pages.token} if self.pages.token else {}
        url = f"http://{cloud.address}/instances"
        try:
            async with self.session.get(url, params=params, allow_redirects=False) as answer:
                return answer.status, await answer.json(content_type=None) if answer.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as e:
            logging.debug("platform: %s.", type(e).__name__)
            return 0, None

    def _restart(self, why):
        """The round has failed: the next call asks for the first page again."""
        if not self.grumbled:
            logging.warning("platform: no list (%s).", why)
        self.grumbled, self.pages = True, PageAssembler()

    def _take(self, page):
        """Adds a page; publishes the list after the last one. Whether more pages follow."""
        whole = self.pages.add(*page)
        if whole is None:
            return True
        whole = EndpointList(whole.runners, self.crowd())
        if whole.differs_from(self.last):
            self.last, self.number = whole, self.number + 1
            self.shop.renew(ENDPOINTS, (self.epoch, self.number), whole)
        return False
