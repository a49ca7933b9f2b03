"""The clients of a soak: usual ones on kept connections, slow ones, such that leave, a crowd, and noise."""

from __future__ import annotations

import asyncio
import contextlib
import random
from math import inf

from fakes.client_connection import ClientConnection, ReceivedResponse, request_head

from ..single import SingleSidecar
from .judge import ClientRecord, Judge
from .plan import METHODS, RequestPlan
from .servers import upload_for

CHUNK = 20_000  # bytes of a chunk of a request
READ_MARGIN = 8.0  # seconds after its time for which a client reads on
IDLE_CROWD, SLOW_CROWD = 60, 40  # connections
SLOW_WRITE_INTERVAL = 0.1  # seconds between the bytes of a slow writer
SHORT_FIELDS = 800  # fields of a head of very many
HALF_UPLOAD = b"POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + b"x" * 30_000
NOISE = (
    b"GET /nowhere/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %d\r\nX-Qos: nowhere\r\nX-Expires-In-Ms: 900\r\n\r\n",
    b"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\nX-Expires-In-Ms: 900\r\n\r\n",
    b"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %d\r\nX-Qos: read\r\nX-Expires-In-Ms: soon\r\n\r\n",
    b"\r\n\r\n",
    b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
    b"nonsense\r\n\r\n",
)


class SoakClients:
    """All clients of one sidecar."""

    def __init__(
        self, sidecar: SingleSidecar, judge: Judge, rng: random.Random, may_be_shut_out: bool
    ) -> None:
        """Create them without a connection.

        `may_be_shut_out`: other clients fill the descriptors, so that new connections may be closed unread.
        """
        self.name, self.address = sidecar.name, sidecar.address
        self.judge, self.rng = judge, rng
        self.may_be_shut_out = may_be_shut_out
        self.idle: list[ClientConnection] = []
        self.accepts_new = True  # whether clients open further connections
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, plan: RequestPlan) -> None:
        """Send a request, unless it would need a connection that may not be opened any more."""
        self.idle = [connection for connection in self.idle if not connection.reader.at_eof()]
        if not self.idle and not self.accepts_new:
            return
        connection = self.idle.pop(0) if self.idle else None
        self._spawn(self._request(plan, connection))

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _request(self, plan: RequestPlan, kept: ClientConnection | None) -> None:
        record = self.judge.records[plan.trace] = ClientRecord(plan, self.name)
        response = await self._attempt(record, kept)
        if kept is not None and response is not None and response.was_closed and not response.status:
            # The sidecar may close a kept connection while a request crosses that.
            record.closed_unanswered_at = response.ended_at
            response = await self._attempt(record, None)
        if response is not None:
            is_unheard = response.was_closed and not response.status
            record.was_taken = not (is_unheard and self.may_be_shut_out)
            record.responses.append(response)
        elif record.left_at == inf:
            record.was_taken = False
            record.responses.append(ReceivedResponse())
        elif plan.repeats_after != inf:
            await asyncio.sleep(plan.repeats_after)
            repeated = await self._attempt(record, None, leaves=False)
            if repeated is not None:
                record.responses.append(repeated)

    async def _attempt(
        self, record: ClientRecord, connection: ClientConnection | None, leaves: bool = True
    ) -> ReceivedResponse | None:
        """Send the request once; None if no connection could be opened, or its client has left."""
        plan = record.plan
        if connection is None and not self.accepts_new:
            return None
        try:
            connection = connection or await ClientConnection.open(self.address)
        except OSError:
            return None
        received = ReceivedResponse()
        timeout = plan.timeout + READ_MARGIN
        reading = asyncio.create_task(
            connection.read_response(timeout, plan.read_rate, METHODS[plan.category], received)
        )
        writing = asyncio.create_task(self._write(connection, record))
        try:
            if leaves and plan.leaves_after != inf:
                await writing
                await asyncio.wait([reading], timeout=plan.leaves_after)
                if not received.is_complete:
                    reading.cancel()
                    record.left_at = asyncio.get_running_loop().time()
                    connection.reset() if plan.leaves_by_reset else connection.close()
                    return None
            return await reading
        finally:
            writing.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await writing
            if connection.is_usable and received.is_complete:
                self.idle.append(connection)
            elif not (leaves and record.left_at != inf):
                connection.close()

    async def _write(self, connection: ClientConnection, record: ClientRecord) -> None:
        plan, loop = record.plan, asyncio.get_running_loop()
        headers = {"X-Trace-Id": plan.trace, "X-Qos": plan.category}
        headers["X-Expires-In-Ms"] = str(int(plan.timeout * 1000))
        if plan.category == "change":
            headers["Idempotency-Key"] = f"key of {plan.trace}"
        body = upload_for(plan)
        head = request_head(
            METHODS[plan.category], f"/{plan.category}/1", headers, len(body), bool(body) and plan.is_chunked
        )
        if body and plan.is_chunked:
            parts = [body[start : start + CHUNK] for start in range(0, len(body), CHUNK)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        record.last_begun_at = loop.time()
        record.first_sent_at = min(record.first_sent_at, record.last_begun_at)
        with contextlib.suppress(OSError):
            await connection.write(head)
            if body:
                await connection.write(body, plan.upload_rate)
            record.sent_at = loop.time()

    # Clients that are not judged.

    def start_crowd(self, until: float) -> None:
        """Have idle clients, slow writers, and clients that stop half way through a request."""
        for _ in range(IDLE_CROWD):
            self._spawn(self._idle_client(until))
        for _ in range(SLOW_CROWD):
            self._spawn(self._slow_writer(until))

    async def _idle_client(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            with contextlib.suppress(OSError):
                connection = await ClientConnection.open(self.address)
                if self.rng.random() < 0.5:
                    await connection.write(HALF_UPLOAD)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(until):
                        await connection.reader.read(100)
                connection.close()
            await asyncio.sleep(0.2)

    async def _slow_writer(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            connection = await ClientConnection.open(self.address)
            fields = b"".join(b"a%d: 1\r\n" % number for number in range(SHORT_FIELDS))
            await connection.write(b"GET /read/1 HTTP/1.1\r\n" + fields)
            while loop.time() < until and not connection.reader.at_eof():
                await connection.write(b"b: 1\r\n")
                await asyncio.sleep(SLOW_WRITE_INTERVAL)
            connection.close()

    def start_noise(self, until: float) -> None:
        """Have one client send small and unsound requests at full speed."""
        self._spawn(self._noise(until))

    async def _noise(self, until: float) -> None:
        loop, number = asyncio.get_running_loop(), 0
        while loop.time() < until:
            with contextlib.suppress(OSError):
                connection = await ClientConnection.open(self.address)
                while loop.time() < until and not connection.reader.at_eof():
                    number += 1
                    text = self.rng.choice(NOISE)
                    await connection.write(text % number if b"%d" in text else text)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.05):
                            await connection.reader.read(1000)
                connection.close()

    async def finish(self, timeout: float) -> int:
        """Wait for all clients, and end those that are left; return how many those were."""
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=timeout)
        left = list(self.tasks)
        for task in left:
            task.cancel()
        for connection in self.idle:
            connection.close()
        return len(left)
