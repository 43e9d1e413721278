"""One attempt at a runner: its slot, its call, and the judgement of its response's head."""

import asyncio
from datetime import timedelta

import aiohttp
from absl import logging

from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, judge_head
from sparloom.transport import monotonic

from . import request as names
from .inactivity_timer import InactivityTimer
from .target import url_for

REFUSAL_BODY = timedelta(milliseconds=50)
# What a runner that fails in some way costs it, as a part of the contact bound.
NOT_CONNECTED, BROKE_OFF, SILENT, MOVED, REFUSED = 1 / 3, 1 / 6, 1 / 6, 1, 1 / 30
NO_CONNECTION = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
RUNNER_FAILURES = (aiohttp.ClientError, OSError, ValueError)


class Attempt:
    """One send of a request to a runner that has a slot for it.

    ``on_silence``: called when the runner has said nothing for the call's timeout.
    """

    def __init__(self, state, ask, post, slot, on_silence):
        self.state, self.ask, self.post, self.slot = state, ask, post, slot
        self.response, self.connected = None, True
        post.open_calls += 1
        self.watch = InactivityTimer(post, slot, lambda post: self._strike(SILENT), on_silence)

    def _strike(self, part):
        self.post.record_failure(monotonic(), self.state.settings.bounds.contact * part)

    async def open(self, last_event_id):
        """Sends the request; None once a head has come that may be passed on, else a verdict."""
        self.watch.arm(self.slot.grant.timeout)
        try:
            self.response = await self._call(last_event_id)
        except NO_CONNECTION:
            # Not a byte of the request has left.
            self.connected = False
            self._strike(NOT_CONNECTED)
            return NOT_RUN
        except RUNNER_FAILURES as error:
            return self.broke_off(error)
        return await self._judge()

    def broke_off(self, error):
        """The runner ended the connection, or sent what is no answer."""
        self._strike(BROKE_OFF)
        logging.info("forward: %s broke off (%s).", self.post.id, type(error).__name__)
        return MAY_HAVE_RUN

    def _call(self, last_event_id):
        ask = self.ask
        connect_within = max(0.05, ask.route.target.total_seconds() / 3)
        return self.post.session().request(
            ask.method,
            url_for(self.post.address, ask.path),
            data=ask.body or None,
            headers=names.onward(ask, self.post, monotonic(), last_event_id),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_within),
        )

    async def _judge(self):
        response, post = self.response, self.post
        head = names.head_of(response, self.ask.id)
        verdict, good = judge_head(head)
        if "Keep-Alive" in response.headers and head.belongs:
            post.apply_keep_alive(response.headers["Keep-Alive"])
        if verdict is NOT_RUN:
            self._strike(MOVED if response.status == 421 else REFUSED)
            await self._finish_refusal()
            return NOT_RUN
        if not good:
            response.close()
            return MAY_HAVE_RUN
        post.record_success()
        return None

    async def _finish_refusal(self):
        """Reads what is left of a refusal, so that its connection can be kept; its head has proved enough."""
        try:
            async with asyncio.timeout(REFUSAL_BODY.total_seconds()):
                await self.response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            self.response.close()

    def end(self):
        """Frees the slot and the connection; what is unread of a response ends its connection."""
        self.watch.stop()
        if self.response is not None:
            self.response.release()
        if self.slot.open:
            self.post.open_calls -= 1
            self.slot.release(monotonic())
