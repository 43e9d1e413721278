"""Datagram records of usage accounting: routers report counts, controllers reply with the true time.

The tags and the order and types of the fields are the wire format and must not change.
"""

from __future__ import annotations

from sparloom.codec import Record, UInt32, UInt64, record


@record(130)
class UsageEntry(Record):
    """The number of requests of a tenant that began in a window.

    Attributes
    ----------
    window
        The window's number.
    tenant
        The tenant's name.
    count
        Number of requests.
    """

    window: UInt64
    tenant: str
    count: UInt32


@record(131)
class ServiceLoad(Record):
    """The load of one service at a router.

    Attributes
    ----------
    service
        The service's name.
    in_flight
        Requests that are in flight at runners.
    waiting
        Requests that wait for admission.
    rejected
        Requests rejected for lack of capacity since the process started.
    """

    service: str
    in_flight: UInt32
    waiting: UInt32
    rejected: UInt32


@record(132)
class UsageReport(Record):
    """A router's counts, sent to the controller that it believes to be the primary and to that one's standbys.

    Attributes
    ----------
    node
        The router's internal HOST:PORT.
    instance_id
        Random identifier of the router process.
    collector_id
        The collector to which ``base`` refers; 0 before the first reply.
    sequence
        Sequence number of the report within the process, from 1.
    base
        Sequence number of the last report that the collector is known to have applied; the entries are the counts
        since that report. 0 for none: then the entries contain all undecided counts.
    sent_at_us
        The router's monotonic clock in microseconds; the reply returns it.
    wall_us
        The router's wall clock, in microseconds since the Unix epoch.
    round_trip_us
        The shortest round trip of the router's recent exchanges; 0 before the first reply.
    complete_through_us
        True time up to which all requests are counted, in microseconds since the Unix epoch.
    decided_through
        The last decided window that the router knows of; all windows up to it are decided.
    entries
        The counts since ``base``.
    loads
        The router's current load by service.
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
    decided_through: UInt64
    entries: list[UsageEntry]
    loads: list[ServiceLoad]


@record(133)
class UsageReply(Record):
    """A controller's reply to a report.

    Attributes
    ----------
    collector_id
        Random identifier of the controller process.
    primary
        Internal HOST:PORT of the primary that the sender knows of, possibly its own; "" if unknown.
    standbys
        From the primary: internal HOST:PORT of each other controller that has the control state.
    sequence
        Sequence number of the newest applied report of the router process; 0 for none.
    sent_at_us
        The value from the report.
    true_us
        From the primary: the true time in microseconds since the Unix epoch. Otherwise 0.
    decided_through
        The last decided window; all windows up to it are decided.
    """

    collector_id: UInt64
    primary: str
    standbys: list[str]
    sequence: UInt32
    sent_at_us: UInt64
    true_us: UInt64
    decided_through: UInt64
