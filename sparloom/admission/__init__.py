"""Admission control: members, their reserved capacity, and a queue per member."""

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
