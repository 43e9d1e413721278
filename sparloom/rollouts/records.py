"""A watcher's vote, by datagram to the primary: what its requests met at the new version and at the old one.

Tags, order and kinds of the fields are the wire format: they never change.
"""

from __future__ import annotations

from sparloom.codec import Record, UInt8, UInt32, UInt64, record


@record(140)
class AnswerTally(Record):
    """The answers of one kind that a router has had since it first heard of a roll-out.

    Attributes
    ----------
    route
        The route's name.
    trial
        Whether the runner ran the new version.
    loaded
        Whether at least half of the runner's slots were taken when the request was sent.
    runner
        The runner's number in the gossip; 0 for all runners of the old version together.
    answers
        Answers that ended, well or not; without those that the runner did not run.
    failed
        Those that failed: a 5xx of the runner, a broken or spoilt answer, none by the deadline.
    paced
        Answers whose pace could be compared.
    slow
        Those that came several times slower than the old version's.
    """

    route: str
    trial: bool
    loaded: bool
    runner: UInt64
    answers: UInt32
    failed: UInt32
    paced: UInt32
    slow: UInt32


@record(141)
class RolloutVote(Record):
    """All that one router has seen of a roll-out; a later vote of the same run replaces an earlier one.

    Attributes
    ----------
    node
        The router's internal HOST:PORT.
    instance_id
        Random for each run of the router's process.
    number
        The roll-out.
    epoch
        Epoch of the configuration by which the router goes.
    step
        The roll-out's step by that configuration.
    sequence
        Counts the votes of the process about this roll-out, from 1.
    sent
        Requests that were sent to runners of the service, of either version.
    exposed
        Those of them that were sent to the new version.
    in_flight
        Requests that are at runners of the service now.
    base_in_flight
        Those of them that are at runners of the old version.
    tallies
        The answers.
    """

    node: str
    instance_id: UInt64
    number: UInt64
    epoch: UInt64
    step: UInt8
    sequence: UInt32
    sent: UInt32
    exposed: UInt32
    in_flight: UInt32
    base_in_flight: UInt32
    tallies: list[AnswerTally]
