"""Actions that a consensus member asks of its service, and its time-outs.

The member performs no I/O: each call returns actions, which the service
carries out in order.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Final, TypeAlias

from attrs import define

if TYPE_CHECKING:
    from .records import Data, Member, Message, Register

# Earlier than any time of the monotonic clock: what has not happened yet.
NEVER = timedelta(days=-1)


@define(frozen=True, slots=True)
class ConsensusTiming:
    """Time-outs of a consensus member, all derived from the contact bound.

    Attributes
    ----------
    heartbeat_interval
        Between two heartbeats of the primary.
    election_timeout
        Silence after which a member is passed over, and a primary replaced.
    resend_interval
        Between two sendings of a message that lacks its answer.
    candidacy_timeout
        How long a pre-vote or an election may take.
    removal_timeout
        Silence after which a member's seat may go to another one.
    """

    heartbeat_interval: timedelta
    election_timeout: timedelta
    resend_interval: timedelta
    candidacy_timeout: timedelta
    removal_timeout: timedelta

    @classmethod
    def of(cls, contact_bound: timedelta) -> ConsensusTiming:
        """Time-outs that replace a lost primary well inside the contact bound.

        >>> ConsensusTiming.of(timedelta(seconds=3)).election_timeout
        datetime.timedelta(microseconds=600000)
        """
        return cls(
            heartbeat_interval=contact_bound / 15,
            election_timeout=contact_bound / 5,
            resend_interval=contact_bound / 25,
            candidacy_timeout=contact_bound / 2,
            removal_timeout=contact_bound / 2,
        )


class Destination(Enum):
    """A group of receivers that the service knows and the member does not."""

    SEEDS = "seeds"
    CONTROLLERS = "controllers"


# The configured seed addresses.
SEEDS: Final = Destination.SEEDS
# All controllers that the membership protocol knows.
CONTROLLERS: Final = Destination.CONTROLLERS


@define(frozen=True, slots=True)
class Send:
    """Send a message: a ``Copy`` by connection, all others by datagram.

    Attributes
    ----------
    destination
        One member, or a group of receivers.
    record
        The message.
    """

    destination: Member | Destination
    record: Message


@define(frozen=True, slots=True)
class Save:
    """Put the register, and the data if given, on disk; then carry out ``followups``.

    Saves are carried out in order. One that fails is retried together with
    those behind it: a later register must never reach the disk without the
    data of an earlier save, or it would claim a copy that is not there.

    Attributes
    ----------
    register
        The register as it was when the save was asked for.
    data
        The data, or None where it did not change.
    sequence
        Counts the member's saves since its start.
    followups
        Answers that claim what was saved, so they may go out only after it.
    """

    register: Register
    data: Data | None
    sequence: int
    followups: tuple[Action, ...] = ()


@define(frozen=True, slots=True)
class Committed:
    """A write is on the disk of every holder.

    Attributes
    ----------
    id
        Of the write call; 0 for the state with which a new primary begins.
    data
        The committed state.
    """

    id: int
    data: Data


@define(frozen=True, slots=True)
class Aborted:
    """A write or a read can't be answered here any more; a write may still take effect.

    Attributes
    ----------
    id
        Of the call.
    """

    id: int


@define(frozen=True, slots=True)
class ReadConfirmed:
    """This member was still the primary after the read began.

    Attributes
    ----------
    id
        Of the read call.
    data
        The committed state.
    """

    id: int
    data: Data


@define(frozen=True, slots=True)
class LeaveCompleted:
    """A planned leave is complete: neither data nor majorities depend on this member."""


Action: TypeAlias = Save | Send | Committed | Aborted | ReadConfirmed | LeaveCompleted
