"""The records of the feed, sent over a pipe."""

from sparloom.codec import record

POLICY, RUNNERS = TOPICS = (0, 1)
UNSURE = 0xFFFFFFFF


@record(60, node="s", policy_epoch="Q", policy_number="Q", runners_epoch="Q", runners_number="Q")
class Follow:
    """I am at this place; send what is newer."""

    @property
    def place(self):
        """The follower's stamp of each topic."""
        return {POLICY: (self.policy_epoch, self.policy_number), RUNNERS: (self.runners_epoch, self.runners_number)}


@record(61, topic="B", epoch="Q", number="Q", base_epoch="Q", base_number="Q", blob="b")
class Change:
    """A topic's new state: whole when the base is 0, else a change upon that base."""

    @property
    def stamp(self):
        """The stamp that the topic has with this change."""
        return (self.epoch, self.number)

    @property
    def base(self):
        """The stamp that the change builds on."""
        return (self.base_epoch, self.base_number)


@record(62, policy_epoch="Q", policy_number="Q", age="I", sent="Q")
class Pulse:
    """The sender's sureness: ms since the primary was last confirmed.

    ``sent``: ms of the sender's steady clock. What a later pulse takes longer
    than the quickest one was held up on its way, and adds to the age.
    """

    @property
    def policy(self):
        """The newest policy's stamp that the sender has or has heard of.

        A follower that holds an older one is not up to date, however lately
        the primary was confirmed.
        """
        return (self.policy_epoch, self.policy_number)
