"""The records of the ledger: views, votes, copies."""

from sparloom.wire import record


@record(20, id="Q", host="s", port="H", zone="s", control="s")
class Member:
    """A controller with a disk of its own; a wiped disk makes a new id."""


@record(21, ids=["Q"])
class Roster:
    """The ids of an older roster that still has a say."""


@record(22, epoch="Q", primary="Q", backups=["Q"], roster=[Member], olds=[Roster])
class View:
    """Who holds the data in an epoch, and who votes."""

    @property
    def holders(self):
        """The ids that hold the data."""
        return (self.primary, *self.backups)

    @property
    def ids(self):
        """The ids of the roster."""
        return tuple(m.id for m in self.roster)


@record(23, id="Q", fresh="?", promised="Q", accepted=[View], active=[View], kept="Q")
class Register:
    """What a member keeps on disk about epochs; ``kept`` is the epoch of its copy."""


@record(24, epoch="Q", number="Q", revision="Q", blob="b")
class Data:
    """The control state: a stamp and the policy's bytes."""

    @property
    def stamp(self):
        """The stamp, by which copies are ordered."""
        return (self.epoch, self.number)


EMPTY = Data(0, 0, 0, b"")


@record(30, frm=Member, fresh="?", blank="?")
class Hello:
    """A first start: here I am."""


@record(31, frm="Q", epoch="Q", seq="I")
class Beat:
    """The primary lives."""


@record(32, frm="Q", epoch="Q", seq="I", ok="?", promised="Q")
class BeatAck:
    """Heard in that epoch, or not any more."""


@record(33, frm="Q", epoch="Q", forced="?", back="s")
class Seek:
    """Promise me this epoch; ``back`` is the sender's HOST:PORT."""


@record(34, frm="Q", epoch="Q", ok="?", busy="?", promised="Q", accepted=[View], active=[View], number="Q")
class Seen:
    """The promise, with what was accepted and known active."""


@record(35, frm="Q", view=View)
class Offer:
    """Accept this view."""


@record(36, frm="Q", epoch="Q", ok="?", promised="Q")
class Took:
    """Accepted, or promised away."""


@record(37, frm="Q", view=View)
class Full:
    """Primary and backups hold everything: mark the view active."""


@record(38, frm="Q", epoch="Q", ok="?", promised="Q")
class Marked:
    """Marked active on disk."""


@record(39, frm="Q", epoch="Q")
class Yield:
    """Take over, please."""


@record(40, frm=Member)
class Join:
    """Let me into the roster."""


@record(41, frm="Q", view=View, data=Data)
class Copy:
    """Put this on your disk."""


@record(42, frm="Q", epoch="Q", number="Q", ok="?", promised="Q")
class Kept:
    """It is on my disk."""
