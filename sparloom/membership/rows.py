"""Rows of the membership table, probes under way, and datagrams to send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from datetime import timedelta

    from .records import Peer, SwimMessage


@define(frozen=True, slots=True)
class Send:
    """A datagram to send.

    Attributes:
        to: The receiver's internal HOST:PORT.
        record: The message.
    """

    to: str
    record: SwimMessage


@define(slots=True)
class TableEntry:
    """A row of the membership table.

    Attributes:
        peer: What is believed.
        since: When it was learned.
        transmissions: How often it was passed on to others.
        warned: Whether a suspect was probed once more before it is declared dead.
    """

    peer: Peer
    since: timedelta
    transmissions: int = 0
    warned: bool = False


@define(slots=True)
class Probe:
    """A probe whose answer is awaited, and whether others were requested to probe too."""

    key: str
    sequence: int
    sent_at: timedelta
    indirect: bool = False


@define(frozen=True, slots=True)
class IndirectProbe:
    """A probe made on behalf of another member, which awaits its result."""

    requester: str
    sequence: int
    sent_at: timedelta
