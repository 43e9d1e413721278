"""What the ledger asks of its service, and its spans of time."""

from datetime import timedelta

from attrs import define

NEVER = timedelta(days=-1)


@define(frozen=True, slots=True)
class ConsensusTiming:
    """Spans of the ledger, all derived from the contact bound.

    ``election_timeout``: silence after which a member is passed over. ``removal_timeout``:
    silence after which its seat may go to another one. ``candidacy_timeout``: how long an
    election may take.
    """

    heartbeat_interval: timedelta
    election_timeout: timedelta
    resend_interval: timedelta
    candidacy_timeout: timedelta
    removal_timeout: timedelta

    @classmethod
    def of(cls, contact):
        """Spans that replace a lost primary well inside the bound.

        >>> ConsensusTiming.of(timedelta(seconds=3)).election_timeout
        datetime.timedelta(microseconds=600000)
        """
        return cls(contact / 15, contact / 5, contact / 25, contact / 2, contact / 2)


@define(frozen=True, slots=True)
class Send:
    """A record for a member; copies go over a connection, the rest by datagram.

    ``destination``: a Member, ``SEEDS``, or ``CONTROLLERS`` (all that membership knows).
    """

    destination: object
    record: object


SEEDS, CONTROLLERS = "seeds", "controllers"


@define(frozen=True, slots=True)
class Save:
    """Put the register, and the data if there is any, on disk; then carry out ``followups``.

    Saves are carried out in order. One that fails is tried again, together
    with those behind it: a later register must never reach the disk without
    the data of an earlier save.
    """

    register: object
    data: object
    sequence: int
    followups: tuple = ()


@define(frozen=True, slots=True)
class Committed:
    """A write is on the disk of every holder; id 0: what a new primary begins with."""

    id: int
    data: object


@define(frozen=True, slots=True)
class Aborted:
    """A write or a read can't be answered here any more; a write may still take effect."""

    id: int


@define(frozen=True, slots=True)
class ReadConfirmed:
    """This member was still the primary after the read began; ``data`` is decided."""

    id: int
    data: object


@define(frozen=True, slots=True)
class LeaveCompleted:
    """A planned leave is complete: nothing rests on this member any more."""


# What a member asks of its service.
Action = Send | Save | Committed | Aborted | ReadConfirmed | LeaveCompleted
