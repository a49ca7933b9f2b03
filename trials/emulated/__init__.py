"""Replication of requests in a whole fleet, in emulated time. The main module is `world`."""

from .faults import HARSH_FAULTS, FaultRates
from .member import Request
from .network import IDLE_LINK_TIMEOUT
from .world import Outcome, World, simulate

__all__ = ["HARSH_FAULTS", "IDLE_LINK_TIMEOUT", "FaultRates", "Outcome", "Request", "World", "simulate"]
