"""The records of the feed, sent over a pipe."""

from __future__ import annotations

from sparloom.codec import Record, UInt8, UInt32, UInt64, record

CONFIGURATION, ENDPOINTS = TOPICS = (0, 1)
UNCONFIRMED = 0xFFFFFFFF
NO_VERSION = (0, 0)


@record(60)
class Subscribe(Record):
    """I am at this place; send what is newer."""

    node: str
    configuration_epoch: UInt64
    configuration_number: UInt64
    endpoints_epoch: UInt64
    endpoints_number: UInt64

    @property
    def versions(self):
        """The follower's version of each topic."""
        return {
            CONFIGURATION: (self.configuration_epoch, self.configuration_number),
            ENDPOINTS: (self.endpoints_epoch, self.endpoints_number),
        }


@record(61)
class Change(Record):
    """A topic's new state: whole when the base is 0, else a change upon that base."""

    topic: UInt8
    epoch: UInt64
    number: UInt64
    base_epoch: UInt64
    base_number: UInt64
    payload: bytes

    @property
    def version(self):
        """The version that the topic has with this change."""
        return (self.epoch, self.number)

    @property
    def base(self):
        """The version that the change builds on."""
        return (self.base_epoch, self.base_number)


@record(62)
class FeedHeartbeat(Record):
    """The sender's sureness: ms since the primary was last confirmed.

    ``sent_at_ms``: ms of the sender's steady clock. What a later pulse takes longer
    than the quickest one was held up on its way, and adds to the age.
    """

    configuration_epoch: UInt64
    configuration_number: UInt64
    confirmation_age_ms: UInt32
    sent_at_ms: UInt64

    @property
    def configuration_version(self):
        """The newest policy's version that the sender has or has heard of.

        A follower that holds an older one is not up to date, however lately
        the primary was confirmed.
        """
        return (self.configuration_epoch, self.configuration_number)
