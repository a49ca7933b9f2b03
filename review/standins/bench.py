"""What the test scripts share: processes, ports, the configuration, the record and the clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from http1 import EndOfStreamError, Message, read_body, read_head

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "127.0.0.1"


class NotRunError(Exception):
    """The case could not be run."""


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Bench:
    """The processes and the temporary folder of one case."""

    def __init__(self, case: Path) -> None:
        """Create the temporary folder and the empty record in the folder of the case."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = (case / "record.txt").open("w", buffering=1)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.started_at = time.time()
        self.runs_path = self.folder / "runs.jsonl"
        self.runs_path.touch()

    def record(self, text: str) -> None:
        """Write one line, with the seconds since the start, to the record."""
        self.record_file.write(f"{time.time() - self.started_at:8.3f}  {text}\n")

    def start(self, command: list[str], name: str, **environment: str) -> subprocess.Popen[bytes]:
        """Start a process in a group of its own; its output goes to a file of the temporary folder."""
        output = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        output.close()
        self.processes.append(process)
        return process

    def standin(self, program: str, *arguments: object) -> subprocess.Popen[bytes]:
        """Start a stand-in of this folder."""
        command = [sys.executable, "-B", str(STANDINS / program), *map(str, arguments)]
        return self.start(command, program.removesuffix(".py"))

    def sidecar(self, config: dict[str, Any], **environment: str) -> subprocess.Popen[bytes]:
        """Start a sidecar by the `run` command of the deploy file."""
        name = config["name"]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        private = self.folder / f"tmp-{name}"
        private.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        told = {
            "EDGE_NAME": name,
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        return self.start(["/bin/sh", "-c", run], name, **told, **environment)

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a sidecar."""
        lines = []
        for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def record_runs(self) -> None:
        """Write to the record what the upstreams have run."""
        for run in self.runs():
            at = run["at"] - self.started_at
            what = f"{run['trace']}, {run['bytes']} bytes {run['digest']}"
            self.record(f"at {at:.3f} {run['upstream']}: {run['event']} {what}")

    def runs(self) -> list[dict[str, Any]]:
        """Return what the upstreams have run, as they wrote it."""
        return [json.loads(line) for line in self.runs_path.read_text().splitlines()]

    async def ready(self, address: str, within: float = 15.0) -> None:
        """Wait until a sidecar is ready. Raises `NotRunError`."""
        until = time.time() + within
        while time.time() < until:
            with contextlib.suppress(OSError, EndOfStreamError):
                async with Client(address) as client:
                    answer = await client.get("/ready")
                    if answer.start.split()[1] == "200":
                        return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{address} is not ready")

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection of a client."""

    def __init__(self, address: str) -> None:
        """Take the address; `async with` connects."""
        self.address = address

    async def __aenter__(self) -> Client:
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close."""
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    async def get(self, target: str, **headers: str) -> Message:
        """Send a request without a body, and return the answer."""
        lines = [f"GET {target} HTTP/1.1", "Host: backend.local"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())
        return await self.answer()

    async def answer(self) -> Message:
        """Read one answer. Raises `EndOfStreamError`."""
        message = await read_head(self.reader)
        await read_body(self.reader, message)
        return message


def endpoint_list(entries: list[dict[str, Any]], version: int = 1) -> dict[str, Any]:
    """Return a whole list in discovery's form."""
    common = {"zone": "a", "kind": "std1", "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0}
    return {"version": version, "full": True, "servers": [{**common, **entry} for entry in entries]}


def main(case: Path, story: Callable[[Bench], Any]) -> int:
    """Run a case, end its processes, and return the exit code of its script."""
    bench = Bench(case)
    bench.record(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(asyncio.wait_for(story(bench), 110))
    except Exception as error:
        bench.record(f"the case could not run: {error!r}")
        return NOT_RUN
    else:
        bench.record("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD
    finally:
        bench.end()
