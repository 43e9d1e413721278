"""The records of the feed, sent over a connection between a follower and its source."""

from __future__ import annotations

from enum import IntEnum

from sparloom.codec import Record, UInt8, UInt32, UInt64, record

Version = tuple[int, int]
"""(epoch, number) of a state, ordered by the primary's epoch first, then by the number within the epoch."""

NO_VERSION: Version = (0, 0)
"""The version of a topic before its first state is received."""

UNCONFIRMED = 0xFFFFFFFF
"""The ``confirmation_age_ms`` of a sender that has no confirmation of a primary."""


class Topic(IntEnum):
    """The topics of the feed; the number is sent on the wire."""

    CONFIGURATION = 0
    ENDPOINTS = 1


CONFIGURATION = Topic.CONFIGURATION
ENDPOINTS = Topic.ENDPOINTS
TOPICS = (CONFIGURATION, ENDPOINTS)


@record(60)
class Subscribe(Record):
    """The first record of a follower, which requests every change after its versions.

    Attributes
    ----------
    node
        The follower's node name.
    configuration_epoch, configuration_number
        The follower's version of the configuration.
    endpoints_epoch, endpoints_number
        The follower's version of the endpoint list.
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
        A number of ``Topic``; an unknown one comes from a newer sender.
    epoch, number
        The version of the topic after the change.
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
        """The version of the topic after the change."""
        return (self.epoch, self.number)

    @property
    def base(self) -> Version:
        """The version to which the change applies; ``NO_VERSION`` for a snapshot."""
        return (self.base_epoch, self.base_number)


@record(62)
class FeedHeartbeat(Record):
    """Notifies a follower that its source is alive, and how recently the primary was confirmed.

    Attributes
    ----------
    configuration_epoch, configuration_number
        See ``configuration_version``.
    confirmation_age_ms
        Milliseconds since a quorum last confirmed the primary, or ``UNCONFIRMED``.
    sent_at_ms
        The sender's monotonic clock in milliseconds. Only differences are
        meaningful: the extra delay of a heartbeat compared with the fastest one
        is added to the age.
    """

    configuration_epoch: UInt64
    configuration_number: UInt64
    confirmation_age_ms: UInt32
    sent_at_ms: UInt64

    @property
    def configuration_version(self) -> Version:
        """The newest version of the configuration that the sender stores or knows to exist.

        A follower with an older version is not up to date, even if the primary
        was confirmed recently.
        """
        return (self.configuration_epoch, self.configuration_number)
