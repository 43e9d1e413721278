"""What the ledger asks of its service, and its spans of time."""

from datetime import timedelta

from attrs import define, field


@define(frozen=True, slots=True)
class Spans:
    """Spans of the ledger, all derived from the contact bound."""

    beat: timedelta
    patience: timedelta
    resend: timedelta
    stuck: timedelta
    dead: timedelta

    @classmethod
    def of(cls, contact):
        """Spans that replace a lost primary well inside the bound.

        >>> Spans.of(timedelta(seconds=3)).patience
        datetime.timedelta(microseconds=600000)
        """
        return cls(contact / 15, contact / 5, contact / 25, contact / 2, contact / 2)


@define(frozen=True, slots=True)
class Send:
    """A record for a member; copies go by pipe, the rest by datagram."""

    to: object
    rec: object


@define(frozen=True, slots=True)
class Save:
    """Put the register (and data) on disk; then carry out ``then``."""

    reg: object
    data: object
    mark: int
    then: tuple = ()


@define(frozen=True, slots=True)
class Decided:
    """A write is on every copy."""

    id: int
    data: object


@define(frozen=True, slots=True)
class Lost:
    """A write or a read can't be answered here any more."""

    id: int


@define(frozen=True, slots=True)
class Confirmed:
    """This member was still the primary after the read began."""

    id: int


@define(slots=True)
class Cand:
    """A candidacy in progress."""

    epoch: int
    began: timedelta
    phase: str
    forced: bool = False
    roster: object = None
    sent: timedelta = timedelta(days=-1)
    seens: dict = field(factory=dict)
    refused: int = 0
    took: set = field(factory=set)
    view: object = None
    ground: object = None


@define(slots=True)
class Lead:
    """A primary's own state in its epoch."""

    view: object
    olds: list
    began: timedelta
    phase: str = "copy"
    seq: int = 0
    beat_at: timedelta = timedelta(days=-1)
    sent: dict = field(factory=dict)
    acks: dict = field(factory=dict)
    heard: dict = field(factory=dict)
    confirmed: timedelta = timedelta(days=-1)
    confirmed_seq: int = 0
    kept: dict = field(factory=dict)
    marked: set = field(factory=set)
    retry: timedelta = timedelta(days=-1)
    write: int | None = None
    write_at: timedelta = timedelta(0)
    reads: dict = field(factory=dict)
