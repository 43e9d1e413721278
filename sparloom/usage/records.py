"""Records between routers and the primary controller, by datagram: counts of usage one way, the true time back.

Tags, order and kinds of the fields are the wire format: they never change.
"""

from __future__ import annotations

from sparloom.codec import Record, UInt32, UInt64, record


@record(130)
class UsageEntry(Record):
    """How many requests of a tenant began in a window.

    Attributes
    ----------
    window
        Number of the window.
    tenant
        The tenant's name.
    count
        The requests.
    """

    window: UInt64
    tenant: str
    count: UInt32


@record(131)
class ServiceLoad(Record):
    """What a router has in hand for one service.

    Attributes
    ----------
    service
        The service's name.
    in_flight
        Requests that are at runners.
    waiting
        Requests that wait to be admitted.
    rejected
        Requests that were rejected for want of capacity since the process started.
    """

    service: str
    in_flight: UInt32
    waiting: UInt32
    rejected: UInt32


@record(132)
class UsageReport(Record):
    """What a router has counted, from a router to the controller that it takes for the primary.

    Attributes
    ----------
    node
        The router's internal HOST:PORT.
    instance_id
        Random for each run of the router's process.
    collector_id
        The collector for which ``base`` holds; 0 before the first reply.
    sequence
        Counts the reports of the process, from 1.
    base
        The report that the collector was last known to have taken in; the entries are what was counted since.
        0 for none: then they are all that is held.
    sent_at_us
        The router's monotonic clock in microseconds; the reply repeats it.
    wall_us
        The router's wall clock, in microseconds since 1970.
    round_trip_us
        The shortest round trip that the router has seen of late; 0 before the first reply.
    complete_through_us
        True time up to which all that began is counted, in microseconds since 1970.
    entries
        What was counted since ``base``.
    loads
        What the router has in hand now.
    """

    node: str
    instance_id: UInt64
    collector_id: UInt64
    sequence: UInt32
    base: UInt32
    sent_at_us: UInt64
    wall_us: UInt64
    round_trip_us: UInt32
    complete_through_us: UInt64
    entries: list[UsageEntry]
    loads: list[ServiceLoad]


@record(133)
class UsageReply(Record):
    """The answer of a controller to a report.

    Attributes
    ----------
    collector_id
        Random for each collector; 0 where the sender is not the primary, and nothing was taken in.
    primary
        The primary's internal HOST:PORT as far as it is known.
    sequence
        The newest report that was taken in of this router's process; 0 for none.
    sent_at_us
        That of the report.
    true_us
        The true time in microseconds since 1970, as the collector has it; 0 where it collects nothing.
    decided_through
        The counts of this window and all before it are decided.
    """

    collector_id: UInt64
    primary: str
    sequence: UInt32
    sent_at_us: UInt64
    true_us: UInt64
    decided_through: UInt64
