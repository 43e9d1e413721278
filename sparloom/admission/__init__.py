"""Admission control with reserves: who a member is, what is reserved for it, and its queue."""

from .controller import AdmissionController, Admitted, Capacity, Demand, Queued, Rejected
from .fleet_size import FleetSize
from .member import Member, members_of, parse_members

__all__ = [
    "AdmissionController",
    "Admitted",
    "Capacity",
    "Demand",
    "FleetSize",
    "Member",
    "Queued",
    "Rejected",
    "members_of",
    "parse_members",
]
