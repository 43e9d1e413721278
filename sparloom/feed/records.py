"""The records of the feed, sent over a pipe."""

from __future__ import annotations

from sparloom.codec import Record, UInt8, UInt32, UInt64, record

CONFIGURATION, ENDPOINTS = TOPICS = (0, 1)
UNCONFIRMED = 0xFFFFFFFF


@record(60)
class Subscribe(Record):
    """I am at this place; send what is newer."""

    node: str
    policy_epoch: UInt64
    policy_number: UInt64
    runners_epoch: UInt64
    runners_number: UInt64

    @property
    def place(self):
        """The follower's stamp of each topic."""
        return {
            CONFIGURATION: (self.policy_epoch, self.policy_number),
            ENDPOINTS: (self.runners_epoch, self.runners_number),
        }


@record(61)
class Change(Record):
    """A topic's new state: whole when the base is 0, else a change upon that base."""

    topic: UInt8
    epoch: UInt64
    number: UInt64
    base_epoch: UInt64
    base_number: UInt64
    blob: bytes

    @property
    def stamp(self):
        """The stamp that the topic has with this change."""
        return (self.epoch, self.number)

    @property
    def base(self):
        """The stamp that the change builds on."""
        return (self.base_epoch, self.base_number)


@record(62)
class FeedHeartbeat(Record):
    """The sender's sureness: ms since the primary was last confirmed.

    ``sent``: ms of the sender's steady clock. What a later pulse takes longer
    than the quickest one was held up on its way, and adds to the age.
    """

    policy_epoch: UInt64
    policy_number: UInt64
    age: UInt32
    sent: UInt64

    @property
    def policy(self):
        """The newest policy's stamp that the sender has or has heard of.

        A follower that holds an older one is not up to date, however lately
        the primary was confirmed.
        """
        return (self.policy_epoch, self.policy_number)
