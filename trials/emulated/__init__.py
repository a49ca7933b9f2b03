"""The replication of a whole fleet in emulated time; `world` is where to begin reading."""

from .faults import HARSH, FaultRates
from .member import Request
from .network import IDLE_LINK_TIMEOUT
from .world import Outcome, World, play

__all__ = ["HARSH", "IDLE_LINK_TIMEOUT", "FaultRates", "Outcome", "Request", "World", "play"]
