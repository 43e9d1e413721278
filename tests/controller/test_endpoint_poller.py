"""The platform's pages: each is tied to the epoch in which it was asked for."""

import unittest
from functools import partial
from types import SimpleNamespace

from fakes.platform import Platform
from sparloom.controller.consensus_service import ConsensusService
from sparloom.controller.endpoint_poller import EndpointPoller
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP


class Member:
    """Stands for the consensus member: the primary of ``epoch``, or none."""

    def __init__(self):
        self.epoch = 1

    def leading(self):
        """Whether this controller is the primary."""
        return self.epoch is not None

    @property
    def leadership(self):
        """What the primary knows of its epoch."""
        return SimpleNamespace(epoch=self.epoch)


class FeedServer:
    """Stands for the feed: what was published."""

    def __init__(self):
        self.published = []

    def publish(self, topic, version, state):
        """Takes a list."""
        self.published.append((version, [r.id for r in state.runners]))


class Pages(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        entries = [Platform.entry(f"i-{i}", "s", f"10.0.0.{i}:1") for i in range(4)]
        self.platform = await Platform(entries, page=2).start()
        self.addAsyncCleanup(self.platform.stop)
        self.member, self.feed_server = Member(), FeedServer()
        self.cloud = SimpleNamespace(address=f"127.0.0.1:{self.platform.port}", rate=40.0)
        consensus = SimpleNamespace(member=self.member)
        consensus.leading_epoch = partial(ConsensusService.leading_epoch, consensus)
        self.consensus = consensus
        self.poller = EndpointPoller(from_dict(STARTUP).unwrap(), consensus, self.feed_server)
        self.addAsyncCleanup(self.poller.on_stop)

    async def call(self):
        """One request in the epoch of this moment."""
        epoch = self.consensus.leading_epoch()
        self.poller.enter_epoch(epoch)
        return await self.poller.poll_page(self.cloud, epoch)

    async def complete_list(self):
        """Requests pages until no more follow."""
        while (await self.call())[0]:
            pass

    async def test_a_list_carries_the_epoch_in_which_it_was_asked_for(self):
        await self.complete_list()
        self.member.epoch = 3
        await self.complete_list()
        ids = ["i-0", "i-1", "i-2", "i-3"]
        self.assertEqual(self.feed_server.published, [((1, 1), ids), ((3, 1), ids)])

    async def test_a_page_that_arrives_in_another_epoch_is_dropped(self):
        for after in (None, 2, 5):
            with self.subTest(after=after):
                self.member.epoch, self.feed_server.published = 1, []
                await self.call()
                self.platform.meanwhile = lambda e=after: setattr(self.member, "epoch", e)
                self.assertEqual(await self.call(), (False, False))
                self.platform.meanwhile = lambda: None
                self.assertEqual(self.feed_server.published, [])
                self.assertIsNone(self.poller.pages.token)

    async def test_pages_of_an_earlier_leadership_are_not_joined_to_those_of_the_next(self):
        """The primary loses its leadership between two pages and wins it back, in the same epoch."""
        await self.call()
        self.poller.enter_epoch(None)
        await self.complete_list()
        self.assertEqual(self.platform.tokens, [None, None, "p2"])
        self.assertEqual([ids for _, ids in self.feed_server.published], [["i-0", "i-1", "i-2", "i-3"]])

    async def test_numbers_go_on_within_an_epoch(self):
        await self.complete_list()
        self.poller.enter_epoch(None)
        await self.complete_list()
        self.assertEqual([version for version, _ in self.feed_server.published], [(1, 1), (1, 2)])

    async def test_a_failed_page_restarts_the_poll_and_a_rate_limited_one_does_not(self):
        for status, next_token, over in ((500, None, False), (410, None, False), (307, None, False), (429, "p2", True)):
            with self.subTest(status=status):
                self.poller.enter_epoch(None)
                await self.call()
                self.platform.statuses = [status]
                self.assertEqual(await self.call(), (False, over))
                await self.call()
                self.assertEqual(self.platform.tokens[-1], next_token)
