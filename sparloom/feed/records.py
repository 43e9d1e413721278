"""The records of the feed, sent over a connection between a follower and its source."""

from __future__ import annotations

from enum import IntEnum

from sparloom.codec import Record, UInt8, UInt32, UInt64, record

Version = tuple[int, int]
"""(epoch, number) of a state: versions are ordered first by the primary's epoch, then by the number in it."""

NO_VERSION: Version = (0, 0)
"""The version of a topic of which nothing has been received."""

UNCONFIRMED = 0xFFFFFFFF
"""The ``confirmation_age_ms`` of a sender that knows of no confirmed primary."""


class Topic(IntEnum):
    """What a change is about; the number goes out on the wire."""

    CONFIGURATION = 0
    ENDPOINTS = 1


CONFIGURATION = Topic.CONFIGURATION
ENDPOINTS = Topic.ENDPOINTS
TOPICS = (CONFIGURATION, ENDPOINTS)


@record(60)
class Subscribe(Record):
    """The first record of a follower: its versions, after which it wants every change.

    Attributes
    ----------
    node
        The follower's node name.
    configuration_epoch, configuration_number
        The version of the configuration that it has.
    endpoints_epoch, endpoints_number
        The version of the endpoint list that it has.
    """

    node: str
    configuration_epoch: UInt64
    configuration_number: UInt64
    endpoints_epoch: UInt64
    endpoints_number: UInt64

    @property
    def versions(self) -> dict[int, Version]:
        """The follower's version of each topic."""
        return {
            CONFIGURATION: (self.configuration_epoch, self.configuration_number),
            ENDPOINTS: (self.endpoints_epoch, self.endpoints_number),
        }


@record(61)
class Change(Record):
    """A newer state of a topic: a snapshot, or a delta to be applied to one exact version.

    Attributes
    ----------
    topic
        A number of ``Topic``; one that is unknown here comes from a newer sender.
    epoch, number
        The version that the topic has after the change.
    base_epoch, base_number
        The version to which a delta applies; both 0 for a snapshot.
    payload
        The snapshot or the delta, see ``sparloom.feed.payload``.
    """

    topic: UInt8
    epoch: UInt64
    number: UInt64
    base_epoch: UInt64
    base_number: UInt64
    payload: bytes

    @property
    def version(self) -> Version:
        """The version that the topic has after the change."""
        return (self.epoch, self.number)

    @property
    def base(self) -> Version:
        """The version to which the change applies; ``NO_VERSION`` for a snapshot."""
        return (self.base_epoch, self.base_number)


@record(62)
class FeedHeartbeat(Record):
    """Tells a follower that its source is up, and how recently the primary was confirmed.

    Attributes
    ----------
    configuration_epoch, configuration_number
        See ``configuration_version``.
    confirmation_age_ms
        Milliseconds since a majority last confirmed the primary, or ``UNCONFIRMED``.
    sent_at_ms
        Milliseconds of the sender's monotonic clock. Only differences mean
        anything: a heartbeat that took longer than the quickest one was
        delayed, and the delay adds to the age.
    """

    configuration_epoch: UInt64
    configuration_number: UInt64
    confirmation_age_ms: UInt32
    sent_at_ms: UInt64

    @property
    def configuration_version(self) -> Version:
        """The newest version of the configuration that the sender has or has heard of.

        A follower with an older one is not up to date, however recently the
        primary was confirmed.
        """
        return (self.configuration_epoch, self.configuration_number)
