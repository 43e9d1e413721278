"""Actions that a consensus member returns to its service, and the member's timeouts.

The member performs no I/O: each call returns actions, which the service
executes in order.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Final, TypeAlias

from attrs import define

if TYPE_CHECKING:
    from .records import Data, Member, Message, Register

# Timestamp of an event that has not happened yet; earlier than any time of the monotonic clock.
NEVER = timedelta(days=-1)


@define(frozen=True, slots=True)
class ConsensusTiming:
    """Intervals and timeouts of a consensus member, all derived from the contact bound.

    Attributes
    ----------
    heartbeat_interval
        Time between two heartbeats of the primary.
    election_timeout
        Time without a message after which a member counts as unreachable and a primary is replaced.
    resend_interval
        Time between two transmissions of an unanswered message.
    candidacy_timeout
        Maximum duration of a pre-vote or an election.
    removal_timeout
        Time without a message after which a voter's seat may be given to another member.
    """

    heartbeat_interval: timedelta
    election_timeout: timedelta
    resend_interval: timedelta
    candidacy_timeout: timedelta
    removal_timeout: timedelta

    @classmethod
    def of(cls, contact_bound: timedelta) -> ConsensusTiming:
        """Returns timeouts that replace a failed primary well within the contact bound.

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
    """A group of receivers whose addresses the service knows and the member does not."""

    SEEDS = "seeds"
    CONTROLLERS = "controllers"


# The configured seed addresses.
SEEDS: Final = Destination.SEEDS
# All controllers known to the membership protocol.
CONTROLLERS: Final = Destination.CONTROLLERS


@define(frozen=True, slots=True)
class Send:
    """Send a message: a ``Copy`` over a connection, all others as datagrams.

    Attributes
    ----------
    destination
        One member or a group of receivers.
    record
        The message.
    """

    destination: Member | Destination
    record: Message


@define(frozen=True, slots=True)
class Save:
    """Write the register, and the data if given, to disk; then execute ``followups``.

    Saves are executed in order. A failed save is retried together with all
    later ones: a later register must never reach the disk without the data of
    an earlier save, because it would claim a copy that does not exist.

    Attributes
    ----------
    register
        The register at the time of the request.
    data
        The data, or None if it did not change.
    sequence
        Number of the save, counted from the member's start.
    followups
        Answers that acknowledge the saved state, so they may only be sent once it is on disk.
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
        Id of the write call; 0 for the initial state of a new primary.
    data
        The committed state.
    """

    id: int
    data: Data


@define(frozen=True, slots=True)
class Aborted:
    """A write or read can no longer be answered by this member; a write may still take effect.

    Attributes
    ----------
    id
        Id of the call.
    """

    id: int


@define(frozen=True, slots=True)
class ReadConfirmed:
    """This member was still the primary after the read began.

    Attributes
    ----------
    id
        Id of the read call.
    data
        The committed state.
    """

    id: int
    data: Data


@define(frozen=True, slots=True)
class LeaveCompleted:
    """The planned leave is complete: neither the data nor a majority depends on this member."""


Action: TypeAlias = Save | Send | Committed | Aborted | ReadConfirmed | LeaveCompleted
