"""Example servers to try a sidecar with: upstreams and their endpoint list, in one process.

    python examples/toy_server.py [--upstreams 3] [--slow 0.05] [--errors 0.1]

The first upstream responds with errors at the given rate, to show that the sidecar retries elsewhere.
Stop the process and start it again to show how the sidecar handles an outage of discovery.
"""

from __future__ import annotations

import argparse
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LIST_ADDRESS = ("127.0.0.1", 8500)
FIRST_PORT = 9001
KEEP_ALIVE_INTERVAL = 2  # seconds between the empty lines of a watch


class Server(ThreadingHTTPServer):
    """A server that holds the settings of its handlers."""

    daemon_threads = True

    def __init__(
        self, address: tuple[str, int], handler: type, number: int, arguments: argparse.Namespace
    ) -> None:
        """Create a server. `number`: the number of the upstream, or -1 for the endpoint list."""
        super().__init__(address, handler)
        self.number, self.arguments = number, arguments


class Upstream(BaseHTTPRequestHandler):
    """Responds to any request after a random delay."""

    protocol_version = "HTTP/1.1"
    timeout = 5  # seconds

    def answer(self) -> None:
        """Read the request and respond, with an error at the configured rate."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        arguments = self.server.arguments
        time.sleep(random.expovariate(1 / arguments.slow))
        is_error = self.server.number == 0 and random.random() < arguments.errors
        body = f"{self.path} by upstream {self.server.number}\n".encode()
        self.send_response(500 if is_error else 200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = answer  # noqa: N815

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class EndpointList(BaseHTTPRequestHandler):
    """Serves the endpoint list; a watch then gets an empty line every 2 s as a keep-alive."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        """Send the list, followed by empty lines if the request is a watch."""
        servers = [
            {"id": f"s{i}", "addr": f"127.0.0.1:{FIRST_PORT + i}", "zone": "here", "state": "active"}
            for i in range(self.server.arguments.upstreams)
        ]
        line = json.dumps({"version": 1, "full": True, "servers": servers}).encode() + b"\n"
        self.send_response(200)
        if "watch=1" not in self.path:
            self.send_header("Content-Length", str(len(line)))
            self.end_headers()
            self.wfile.write(line)
            return
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                self.wfile.flush()
                time.sleep(KEEP_ALIVE_INTERVAL)
                line = b"\n"
        except OSError:
            self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Log nothing."""


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, default=3)
    parser.add_argument("--slow", type=float, default=0.05, help="mean response time in seconds")
    parser.add_argument("--errors", type=float, default=0.0, help="error rate of the first upstream")
    arguments = parser.parse_args()
    for number in range(arguments.upstreams):
        server = Server(("127.0.0.1", FIRST_PORT + number), Upstream, number, arguments)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    list_address = "{}:{}".format(*LIST_ADDRESS)
    print(f"{arguments.upstreams} upstreams from port {FIRST_PORT}, their list at {list_address}", flush=True)
    Server(LIST_ADDRESS, EndpointList, -1, arguments).serve_forever()


if __name__ == "__main__":
    main()
