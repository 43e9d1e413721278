"""Admission control: members, their reserved capacity, a queue per member, and the bytes kept for peers."""

from .byte_budget import ByteBudget, Holding, HoldingKind, process_budget, set_process_memory
from .controller import AdmissionController, Admitted, Capacity, Demand, Queued, Rejected
from .fleet_size import FleetSize
from .member import Member, members_of, parse_members

__all__ = [
    "AdmissionController",
    "Admitted",
    "ByteBudget",
    "Capacity",
    "Demand",
    "FleetSize",
    "Holding",
    "HoldingKind",
    "Member",
    "Queued",
    "Rejected",
    "members_of",
    "parse_members",
    "process_budget",
    "set_process_memory",
]
