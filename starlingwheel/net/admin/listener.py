"""The admin listener: accepts operators' calls, one per connection, with priority over clients' requests.

The actor owns the listening socket and the set of open calls. It also polls for overrides that operators have
set by way of another process of the same sidecar.
"""

from __future__ import annotations

import socket

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..loop import READ, SocketReady
from ..messages import CLOSE
from .call import AdminCall
from .routes import ROUTES

MAX_ACCEPTS_PER_TURN = 16  # connections
OVERRIDES_POLL_INTERVAL = 0.05  # seconds


class AdminListener(Actor):
    """Accepts admin calls, and polls the overrides that another process of this sidecar has written."""

    priority = True
    daemon = True

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        """Create the listener on `sock`, which is listening already."""
        self.context, self.sock = context, sock
        self.calls: dict[AdminCall, None] = {}  # open calls, in the order of closing them to make room
        self.routes = ROUTES | (context.fleet.admin_routes if context.fleet is not None else {})
        sock.setblocking(False)
        context.loop.register(sock.fileno(), self, READ)
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Accept calls, and poll at a fixed interval."""
        while True:
            message = yield self.loop.now() + OVERRIDES_POLL_INTERVAL
            if isinstance(message, SocketReady):
                self._accept()
            self.context.apply_override_changes(self.context.overrides.reload())
            self.context.overrides.store_known_ids()
            self.context.check_siblings()

    def _accept(self) -> None:
        # A call closed to make room releases its descriptor only in the next turn; until then the new call is
        # open too. A turn therefore accepts no more calls than may be open at a time.
        for _ in range(min(MAX_ACCEPTS_PER_TURN, self.context.connections.admin_call_limit)):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.context.log("accept.failed", error=str(error))
                return
            if len(self.calls) >= self.context.connections.admin_call_limit:
                self._close_oldest()
            AdminCall(self.context, self, sock).begin()

    def _close_oldest(self) -> None:
        """Close the first call in the order, so that silent connections do not keep out other callers."""
        oldest = next(iter(self.calls))
        del self.calls[oldest]
        oldest.post(CLOSE)
