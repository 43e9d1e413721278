"""The settings in the startup file as typed values; the module ``checks`` maps the keys of the file to them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from sparloom.admission.member import Member
    from sparloom.isolation import Isolation


# Supported kinds of deployment: requests are routed to model runners, or jobs are scheduled on task runners.
MODEL_DEPLOYMENT = "llmroute"
JOB_DEPLOYMENT = "sched"
# The only supported way to send orders to runners: one call per order.
ORDERS_BY_CALL = "call"
# Supported duties: calls to the platform, made by one node at a time.
USAGE_DUTY = "usage_reporting"
SCALING_DUTY = "scaling"
# Entry of ``contracts`` in the startup file that enables rollouts.
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
    """Addresses on which the process listens; None for each interface that it does not serve.

    Attributes
    ----------
    front
        Address for client requests.
    readiness
        Address for the platform's health checks.
    control
        Address of the operators' HTTP interface.
    """

    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None


# Descriptors of a process that are kept for files.
DESCRIPTORS_FOR_FILES = 200
# Connections that each listener may have, however few descriptors there are.
MINIMUM_CONNECTIONS = 16


@define(frozen=True, slots=True)
class Limits:
    """Resource limits of this process.

    Attributes
    ----------
    memory_mb
        Memory in MB.
    descriptors
        Maximum number of open files and sockets.
    """

    memory_mb: int = 256
    descriptors: int = 1024

    def connections(self, fraction: float) -> int:
        """Return how many connections a listener may have that is entitled to this fraction of the sockets.

        Examples
        --------
        >>> Limits(descriptors=4100).connections(0.4), Limits(descriptors=64).connections(0.1)
        (1560, 16)
        """
        sockets = max(self.descriptors - DESCRIPTORS_FOR_FILES, self.descriptors // 4)
        return max(MINIMUM_CONNECTIONS, int(sockets * fraction))


@define(frozen=True, slots=True)
class ToleratedLosses:
    """How many machines, zones or regions may be lost at the same time without violating a guarantee."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def backups(self) -> int:
        """Number of backups that must store a write in addition to the primary.

        Examples
        --------
        >>> ToleratedLosses(machines=1).backups
        1
        """
        return max(self.machines, self.zones, self.regions)


@define(frozen=True, slots=True)
class Bounds:
    """Time limits and ratios that the system must meet.

    Attributes
    ----------
    contact
        Time limit for detecting a loss of contact and reacting to it.
    acknowledge
        Time limit for acknowledging a change.
    drain
        Time limit for all routers to learn that a runner is draining.
    grace
        Time from SIGTERM until the process must exit.
    config_apply
        Time limit for applying a committed configuration on every node.
    budget_window
        Window over which the retry budget counts requests and retries.
    budget_ratio
        Retries allowed per request.
    budget_slack
        Retries per window that all nodes together may send beyond the ratio.
    pass_time
        ``passMs`` of the startup file; not used.
    recovery
        Time limit for full recovery after a fault has ended; not used.
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
    """Time limits of jobs.

    Attributes
    ----------
    hold_limit
        Longest time for which a runner keeps its tasks running without a hold call.
    gang
        Longest time that the tasks of a gang wait for each other.
    status
        How long the state of a finished job stays available.
    """

    hold_limit: timedelta = timedelta(milliseconds=6000)
    gang: timedelta = timedelta(milliseconds=4000)
    status: timedelta = timedelta(seconds=120)


@define(frozen=True, slots=True)
class ColdBounds:
    """Limit on the requests per second that all routers together send to a cold runner.

    Attributes
    ----------
    overage
        Multiple of the runner's cold rate that is allowed.
    slack
        Requests per second allowed in addition.
    """

    overage: float = 1.0
    slack: float = 0


@define(frozen=True, slots=True)
class RevocationBounds:
    """Bounds on the revocation of tenants' keys.

    Attributes
    ----------
    closed
        Whether to fail closed: a router that can't learn of revocations rejects every key after ``within``.
    within
        Time limit from the acknowledgement until a revoked key is rejected on every node.
    """

    closed: bool = False
    within: timedelta = timedelta(seconds=5)


@define(frozen=True, slots=True)
class DutySettings:
    """Settings of duties: calls to the platform, made by one node at a time.

    Attributes
    ----------
    reports_usage
        Whether the platform expects usage reports.
    scales
        Whether the platform expects orders for the number of runners.
    rate
        Duty calls per second that the platform allows for all nodes together.
    fencing_checked
        Whether the platform rejects calls whose fencing token is lower than one that it has seen; not used.
    lease
        Minimum time between the calls of two different holders of the duties.
    thaw_slack
        How long after the end of its lease a holder whose process was suspended may still act.
    usage_window
        Length of a usage window.
    usage_error
        Maximum relative error of a tenant's usage count; not used.
    usage_lateness
        Time limit for the report of a usage window, from the end of the window.
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
    """Settings of rollouts of new service versions.

    Attributes
    ----------
    enabled
        Whether the runners of a new version serve only after a rollout has introduced it.
    exposure_share
        Maximum fraction of a service's requests that an unproven version gets.
    exposure_slack
        Number of requests allowed in addition to that fraction.
    rollback
        Time limit from the 50th bad response of a version until it gets no more requests; not used.
    """

    enabled: bool = False
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback: timedelta = timedelta(seconds=5)


@define(frozen=True, slots=True)
class CloudApi:
    """The platform's HTTP interface, which lists the runners and takes the duty calls.

    Attributes
    ----------
    address
        Address of the interface.
    rate
        Requests per second that are allowed for all controllers together.
    lag
        Maximum age of a list when the platform returns it; not used.
    """

    address: Address
    rate: float = 1.0
    lag: timedelta = timedelta(0)


@define(frozen=True, slots=True)
class Settings:
    """All settings of a process.

    Attributes
    ----------
    node
        Node name.
    role
        ``router`` or ``controller``.
    ip
        IP address under which other nodes reach this one.
    zone
        Zone of the machine.
    ports
        First and last port of the range for traffic between nodes.
    seeds
        Addresses of the controllers to contact first.
    listen
        Addresses on which the process listens for clients, the platform and operators.
    zones
        Region of each zone. If any zones are listed, only these can be evacuated; the regions are not used.
    first_start
        Whether the entire system starts for the first time, with empty disks.
    loss_counted
        Whether the loss of this machine counts against ``tolerated``; not used.
    data
        Directory for persistent data.
    limits, tolerated, bounds
        See their classes.
    cloud_api
        The platform's HTTP interface for the runner list and the duty calls; None if there is none.
    members
        Members declared for admission, each with a reserve of the capacity.
    isolation
        Which members may share a runner; None if all may.
    deployment
        The kind of deployment: ``MODEL_DEPLOYMENT``, ``JOB_DEPLOYMENT`` or an unsupported one.
    orders
        How orders are sent to task runners; only ``ORDERS_BY_CALL`` is supported.
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
    cloud_api: CloudApi | None = None
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
        """Internal port of controllers, the first of the range."""
        return self.ports[0]

    @property
    def router_port(self) -> int:
        """Internal port of routers, the second of the range."""
        return self.ports[0] + 1

    @property
    def job_port(self) -> int:
        """Internal port of the controllers' consensus group for jobs, the third of the range."""
        return self.ports[0] + 2
