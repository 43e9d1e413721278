"""Notices that a runner has been silent for the call's timeout."""

import asyncio
from datetime import timedelta


class InactivityTimer:
    """The timeout of one call, from sign to sign of its runner.

    Its end marks the runner as doubtful, and ``on_silence`` is called, again
    after each further span. It never ends the call by itself.
    """

    def __init__(self, post, slot, strike_span, on_silence):
        self.post, self.slot = post, slot
        self.strike_span, self.on_silence = strike_span, on_silence
        self.timer, self.span = None, timedelta(0)
        self.quiet = False

    def arm(self, span=None):
        """Waits for the next sign, for the span given now or before."""
        self.span = span or self.span
        self._cancel()
        self.timer = asyncio.get_running_loop().call_later(self.span.total_seconds(), self._out)

    def heard(self):
        """A sign came. Nothing is waited for until it is armed again."""
        if self.quiet:
            self.post.record_success()
        self.stop()

    def stop(self):
        """The call has ended, or its runner is not waited for."""
        self._cancel()
        if self.quiet:
            self.quiet = False
            self.post.unresponsive_calls -= 1

    def _cancel(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def _out(self):
        self.slot.timed_out = True
        if not self.quiet:
            self.quiet = True
            self.post.unresponsive_calls += 1
            self.strike_span(self.post)
        self.arm()
        self.on_silence()
