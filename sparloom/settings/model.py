"""What the startup file holds, as typed values; the names of its keys stand in ``checks``."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from sparloom.admission.member import Member
    from sparloom.isolation import Isolation


# Kinds of deployment that the programs serve: requests go to runners of models, or jobs to runners of tasks.
MODEL_DEPLOYMENT = "llmroute"
JOB_DEPLOYMENT = "sched"
# The way of telling runners what to do that the programs know: one call for each order.
ORDERS_BY_CALL = "call"
# The duties at the platform that the programs know.
USAGE_DUTY = "usage_reporting"
SCALING_DUTY = "scaling"
# The contract under which new versions come by roll-outs.
ROLLOUT_CONTRACT = "rollout"


@define(frozen=True, slots=True)
class Address:
    """A host and a TCP or UDP port.

    Examples
    --------
    >>> str(Address("10.0.0.1", 80))
    '10.0.0.1:80'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@define(frozen=True, slots=True)
class ListenAddresses:
    """Where the process listens; None for what it does not serve.

    Attributes
    ----------
    front
        Requests of clients.
    readiness
        Health checks of the platform.
    control
        The operators' HTTP interface.
    """

    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None


@define(frozen=True, slots=True)
class Limits:
    """What the machine grants to this process.

    Attributes
    ----------
    memory_mb
        Memory in MB.
    descriptors
        Open files and sockets.
    """

    memory_mb: int = 256
    descriptors: int = 1024


@define(frozen=True, slots=True)
class ToleratedLosses:
    """How many machines, or zones, or regions may be lost at once while every guarantee holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def backups(self) -> int:
        """How many backups must store a write besides its primary.

        Examples
        --------
        >>> ToleratedLosses(machines=1).backups
        1
        """
        return max(self.machines, self.zones, self.regions)


@define(frozen=True, slots=True)
class Bounds:
    """The time limits and ratios that the system must keep.

    Attributes
    ----------
    contact
        After a loss of contact, when it must have been noticed and acted upon.
    acknowledge
        When a change must have been acknowledged.
    drain
        How early a runner that drains must be known.
    grace
        From SIGTERM to the end of the process.
    config_apply
        When a committed configuration must be in force everywhere.
    budget_window
        The period over which retries are counted.
    budget_ratio
        Retries allowed for each request.
    budget_slack
        Retries allowed beyond the ratio.
    pass_time
        ``passMs`` of the startup file; kept, not read.
    recovery
        When the system must serve as before after a fault has ended; kept, not read.
    """

    contact: timedelta = timedelta(milliseconds=3000)
    acknowledge: timedelta = timedelta(milliseconds=4000)
    drain: timedelta = timedelta(milliseconds=3000)
    grace: timedelta = timedelta(seconds=8)
    config_apply: timedelta = timedelta(milliseconds=2000)
    budget_window: timedelta = timedelta(seconds=10)
    budget_ratio: float = 0.2
    budget_slack: float = 10
    pass_time: timedelta = timedelta(milliseconds=120)
    recovery: timedelta = timedelta(seconds=12)


@define(frozen=True, slots=True)
class JobBounds:
    """The time limits of jobs.

    Attributes
    ----------
    hold_limit
        The longest time for which a runner holds what runs there without being called.
    gang
        How long the tasks of a gang wait for each other.
    status
        How long an ended job's state is shown.
    """

    hold_limit: timedelta = timedelta(milliseconds=6000)
    gang: timedelta = timedelta(milliseconds=4000)
    status: timedelta = timedelta(seconds=120)


@define(frozen=True, slots=True)
class ColdBounds:
    """How many requests a cold runner may be sent within a second, by all routers together.

    Attributes
    ----------
    overage
        So many times its cold rate,
    slack
        and so many requests more.
    """

    overage: float = 1.0
    slack: float = 0


@define(frozen=True, slots=True)
class RevocationBounds:
    """What holds for tenants' keys that are withdrawn.

    Attributes
    ----------
    closed
        Whether a router that can't know of withdrawn keys lets no key in once ``within`` is over.
    within
        After the acknowledgement, when a withdrawn key must be out of force everywhere.
    """

    closed: bool = False
    within: timedelta = timedelta(seconds=5)


@define(frozen=True, slots=True)
class DutySettings:
    """The calls to the platform that one node at a time makes, and their bounds.

    Attributes
    ----------
    reports_usage
        Whether the platform expects reports of usage.
    scales
        Whether the numbers of runners are ordered at the platform.
    rate
        Calls of duties that the platform allows each second, of all nodes together.
    fencing_checked
        Whether the platform rejects calls whose fence is below one that it has seen.
    lease
        Two holders must not take turns within this.
    thaw_slack
        How late a holder that stood still may act after its lease.
    usage_window
        The length of the windows of usage.
    usage_error
        How far a tenant's count may be from the truth, as a part of it.
    usage_lateness
        After the end of a window, when its report is due.
    """

    reports_usage: bool = False
    scales: bool = False
    rate: float = 1.0
    fencing_checked: bool = True
    lease: timedelta = timedelta(seconds=3)
    thaw_slack: timedelta = timedelta(milliseconds=300)
    usage_window: timedelta = timedelta(seconds=5)
    usage_error: float = 0.05
    usage_lateness: timedelta = timedelta(seconds=10)

    @property
    def expected(self) -> bool:
        """Whether the platform expects any duty.

        Examples
        --------
        >>> DutySettings().expected, DutySettings(scales=True).expected
        (False, True)
        """
        return self.reports_usage or self.scales


@define(frozen=True, slots=True)
class RolloutSettings:
    """What holds for new versions of services.

    Attributes
    ----------
    enabled
        Whether runners of a version serve only once a roll-out has brought it in.
    exposure_share
        A version that isn't known to be good gets at most this part of its service's requests,
    exposure_slack
        and so many more.
    rollback
        After its 50th bad answer, when a bad version must get nothing any more.
    """

    enabled: bool = False
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback: timedelta = timedelta(seconds=5)


@define(frozen=True, slots=True)
class CloudApi:
    """Where the platform lists its runners.

    Attributes
    ----------
    address
        Address of its HTTP interface.
    rate
        Requests allowed each second, by all controllers together.
    lag
        How old a list may be when it is answered; kept, not read.
    """

    address: Address
    rate: float = 1.0
    lag: timedelta = timedelta(0)


@define(frozen=True, slots=True)
class Settings:
    """All that a process is told at its start.

    Attributes
    ----------
    node
        Name of the node.
    role
        ``router`` or ``controller``.
    ip
        The address by which other nodes reach this one.
    zone
        The zone of the machine.
    ports
        First and last port for traffic between nodes.
    seeds
        Controllers to ask first.
    listen
        Where the process listens for others than nodes.
    zones
        Region of each zone; kept, not read.
    first_start
        Whether the whole system starts for the first time, with empty disks.
    loss_counted
        Whether the loss of this machine is one of ``tolerated``; kept, not read.
    data
        Directory for data that must outlast the process.
    limits, tolerated, bounds
        See their classes.
    cloud
        Where the platform lists its runners; None where there is no list.
    members
        Declared members, each with a reserve of the capacity.
    isolation
        Which members may share a runner; None where all may.
    deployment
        The kind of deployment: ``MODEL_DEPLOYMENT``, ``JOB_DEPLOYMENT``, or one that is not served.
    orders
        How runners of tasks are told what to do; only ``ORDERS_BY_CALL`` is served.
    jobs
        See ``JobBounds``.
    cold, revocation, duties, rollouts
        See ``ColdBounds``, ``RevocationBounds``, ``DutySettings`` and ``RolloutSettings``.
    """

    node: str
    role: str
    ip: str
    zone: str
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    listen: ListenAddresses
    zones: dict[str, str] = field(factory=dict)
    first_start: bool = False
    loss_counted: bool = False
    data: str | None = None
    limits: Limits = field(factory=Limits)
    tolerated: ToleratedLosses = field(factory=ToleratedLosses)
    bounds: Bounds = field(factory=Bounds)
    cloud: CloudApi | None = None
    members: tuple[Member, ...] = ()
    isolation: Isolation | None = None
    deployment: str = MODEL_DEPLOYMENT
    orders: str = ORDERS_BY_CALL
    jobs: JobBounds = field(factory=JobBounds)
    cold: ColdBounds = field(factory=ColdBounds)
    revocation: RevocationBounds = field(factory=RevocationBounds)
    duties: DutySettings = field(factory=DutySettings)
    rollouts: RolloutSettings = field(factory=RolloutSettings)

    @property
    def controller_port(self) -> int:
        """The internal port of controllers: the first of the range."""
        return self.ports[0]

    @property
    def router_port(self) -> int:
        """The internal port of routers: the second of the range."""
        return self.ports[0] + 1

    @property
    def job_port(self) -> int:
        """The internal port of the controllers' group for jobs: the third of the range."""
        return self.ports[0] + 2
