"""Tests of ``EndpointPoller``: each page belongs to the epoch in which it was requested."""

import unittest
from functools import partial
from types import SimpleNamespace

from fakes.platform import Platform
from sparloom.controller.consensus_service import ConsensusService
from sparloom.controller.endpoint_poller import EndpointPoller
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP


class FakeMember:
    """A fake consensus member that is the primary of ``epoch``, or not the primary if it is None."""

    def __init__(self):
        self.epoch = 1

    def leading(self):
        """Whether this controller is the primary."""
        return self.epoch is not None

    @property
    def leadership(self):
        """The leadership with its epoch."""
        return SimpleNamespace(epoch=self.epoch)


class FakeFeedServer:
    """A fake feed server that records published lists."""

    def __init__(self):
        self.published = []

    def publish(self, topic, version, state):
        """Records the version and the runner ids of a list."""
        self.published.append((version, [runner.id for runner in state.runners]))


class EndpointPollerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        entries = [Platform.entry(f"i-{index}", "s", f"10.0.0.{index}:1") for index in range(4)]
        self.platform = await Platform(entries, page=2).start()
        self.addAsyncCleanup(self.platform.stop)
        self.member, self.feed_server = FakeMember(), FakeFeedServer()
        self.cloud = SimpleNamespace(address=f"127.0.0.1:{self.platform.port}", rate=40.0)
        consensus = SimpleNamespace(member=self.member)
        consensus.leading_epoch = partial(ConsensusService.leading_epoch, consensus)
        self.consensus = consensus
        self.poller = EndpointPoller(from_dict(STARTUP).unwrap(), consensus, self.feed_server)
        self.addAsyncCleanup(self.poller.on_stop)

    async def poll_page(self):
        """Requests one page in the current epoch."""
        epoch = self.consensus.leading_epoch()
        self.poller.enter_epoch(epoch)
        return await self.poller.poll_page(self.cloud, epoch)

    async def poll_complete_list(self):
        """Requests all pages of a list."""
        while (await self.poll_page())[0]:
            pass

    async def test_the_version_of_a_list_contains_the_epoch_of_its_requests(self):
        await self.poll_complete_list()
        self.member.epoch = 3
        await self.poll_complete_list()
        ids = ["i-0", "i-1", "i-2", "i-3"]
        self.assertEqual(self.feed_server.published, [((1, 1), ids), ((3, 1), ids)])

    async def test_a_page_that_arrives_in_a_different_epoch_is_discarded(self):
        for next_epoch in (None, 2, 5):
            with self.subTest(next_epoch=next_epoch):
                self.member.epoch, self.feed_server.published = 1, []
                await self.poll_page()
                self.platform.meanwhile = lambda epoch=next_epoch: setattr(self.member, "epoch", epoch)
                self.assertEqual(await self.poll_page(), (False, False))
                self.platform.meanwhile = lambda: None
                self.assertEqual(self.feed_server.published, [])
                self.assertIsNone(self.poller.pages.token)

    async def test_pages_from_before_a_loss_of_leadership_are_discarded(self):
        """The primary loses its leadership between two pages and regains it in the same epoch."""
        await self.poll_page()
        self.poller.enter_epoch(None)
        await self.poll_complete_list()
        self.assertEqual(self.platform.tokens, [None, None, "p2"])
        self.assertEqual([ids for _, ids in self.feed_server.published], [["i-0", "i-1", "i-2", "i-3"]])

    async def test_list_numbers_continue_within_an_epoch(self):
        await self.poll_complete_list()
        self.poller.enter_epoch(None)
        await self.poll_complete_list()
        self.assertEqual([version for version, _ in self.feed_server.published], [(1, 1), (1, 2)])

    async def test_a_failed_page_restarts_the_poll_but_a_rate_limited_one_does_not(self):
        for status, next_token, rate_limited in (
            (500, None, False),
            (410, None, False),
            (307, None, False),
            (429, "p2", True),
        ):
            with self.subTest(status=status):
                self.poller.enter_epoch(None)
                await self.poll_page()
                self.platform.statuses = [status]
                self.assertEqual(await self.poll_page(), (False, rate_limited))
                await self.poll_page()
                self.assertEqual(self.platform.tokens[-1], next_token)
