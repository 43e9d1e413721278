"""Members' reserves: who a member is, what it may always have, and its line."""

from .controller import Away, Gate, Granted, Need, Room, Waits
from .fleet_size import Crowd
from .member import Member, declared, members_of

__all__ = ["Away", "Crowd", "Gate", "Granted", "Member", "Need", "Room", "Waits", "declared", "members_of"]
