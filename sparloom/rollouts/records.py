"""A watcher's vote, sent by datagram to the primary: its counts of answers from the new and the old version.

Tags, order and types of the fields are the wire format and must not change.
"""

from __future__ import annotations

from sparloom.codec import Record, UInt8, UInt32, UInt64, record


@record(140)
class AnswerTally(Record):
    """A router's answers of one kind since it learned of a rollout.

    Attributes
    ----------
    route
        The route's name.
    trial
        Whether the runner ran the new version.
    loaded
        Whether the runner was under load when the request was sent, by the router's ``LOADED_SLOT_FRACTION``.
    runner
        The runner's number in the gossip; 0 for all runners of the old version together.
    answers
        Answers that ended, whether complete or failed, except for requests that the runner did not run.
    failed
        Answers that failed: a 5xx from the runner, a broken or corrupt answer, or none by the deadline.
    paced
        Answers whose pace could be compared with the old version's.
    slow
        Answers whose pace was a multiple of the old version's.
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
    """A router's observations of a rollout; each vote replaces the earlier ones of the same process.

    Attributes
    ----------
    node
        The router's internal HOST:PORT.
    instance_id
        Random for each router process.
    number
        The rollout's number.
    epoch
        Epoch of the configuration in force at the router.
    step
        The rollout's step in that configuration.
    sequence
        Number of the vote among the process's votes on this rollout, from 1.
    sent
        Requests sent to runners of the service, of either version.
    exposed
        Requests sent to the new version.
    in_flight
        Requests in flight at runners of the service.
    base_in_flight
        Requests in flight at runners of the old version.
    tallies
        The router's counts of answers.
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
