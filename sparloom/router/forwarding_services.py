"""What the forwarding of a request needs of the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from random import Random

    from sparloom.dynamic_timeout import InFlightCounts

    from .admission_queues import AdmissionQueues
    from .in_flight_gossip import InFlightGossip
    from .prefix_recall import PrefixRecall
    from .retry_budgets import RetryBudgets
    from .router_state import RouterState


@define(frozen=True, slots=True)
class ForwardingServices:
    """The collaborators of ``RequestForwarder`` and ``Attempt``.

    Attributes
    ----------
    state: the present snapshots.
    in_flight: requests in flight per backend; slots are taken here.
    budgets: retry budgets by service.
    queues: admission queues by service.
    gossip: tells the other routers of prompts that went out.
    prefix_recall: tells controllers of long prefixes.
    random: source of random draws.
    """

    state: RouterState
    in_flight: InFlightCounts
    budgets: RetryBudgets
    queues: AdmissionQueues
    gossip: InFlightGossip
    prefix_recall: PrefixRecall
    random: Random
