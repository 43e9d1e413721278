"""The duty of asking the platform, done by the primary alone."""

import asyncio

import aiohttp
from absl import logging
from mode import Service

from sparloom.feed import RUNNERS
from sparloom.link import steady
from sparloom.platform import Pace, Pages, RunnerList, read_page


class Poller(Service):
    """Polls within the rate while this controller holds the duty."""

    def __init__(self, up, core, shop, crowd=lambda: 0):
        super().__init__()
        self.up, self.core, self.shop, self.crowd = up, core, shop, crowd
        self.last, self.epoch, self.number = None, 0, 0
        self.pages, self.session, self.grumbled = Pages(), None, False

    async def on_stop(self):
        if self.session:
            await self.session.close()

    @Service.task
    async def _run(self):
        cloud = self.up.cloud
        if cloud is None:
            return
        pace = Pace.of(cloud.rate, self.up.bounds.drain)
        wait = aiohttp.ClientTimeout(total=self.up.bounds.contact.total_seconds() / 3)
        while not self.should_stop:
            led = self.core.ledger
            if not led.leading():
                self.last = None
                await asyncio.sleep(0.05)
                continue
            if led.leadership.epoch != self.epoch:
                self.epoch, self.number, self.last, self.pages = led.leadership.epoch, 0, None, Pages()
            await asyncio.sleep(max(0.0, (pace.next - steady()).total_seconds()))
            if not led.leading():
                continue
            pace.begun = max(pace.begun, steady()) if self.pages.token is None else pace.begun
            pace.done(steady(), *await self._call(cloud, wait))

    async def _call(self, cloud, wait):
        if self.session is None:
            self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), timeout=wait)
        params = {"pageToken": self.pages.token} if self.pages.token else {}
        try:
            async with self.session.get(f"http://{cloud.address}/instances", params=params) as r:
                if r.status != 200:
                    return False, r.status == 429
                page = read_page(await r.json(content_type=None))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as e:
            if not self.grumbled:
                logging.warning("platform: no list (%s).", type(e).__name__)
            self.grumbled, self.pages = True, Pages()
            return False, False
        self.grumbled = False
        return self._page(page.value_or(None)), False

    def _page(self, page):
        if page is None:
            logging.warning("platform: its page can't be read.")
            self.pages = Pages()
            return False
        whole = self.pages.add(*page)
        whole = whole and RunnerList(whole.runners, self.crowd())
        if whole is not None and whole.news_against(self.last) and self.core.ledger.leading():
            self.last, self.number = whole, self.number + 1
            self.shop.renew(RUNNERS, (self.epoch, self.number), whole)
        return whole is None
