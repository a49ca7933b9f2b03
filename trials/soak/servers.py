"""The servers of a soak: they respond as planned and record what they were asked."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from math import inf

from fakes.http1 import Handler, Request, Response

from .judge import Judge, Run, body_for
from .plan import RequestPlan

NEVER_RAN = {"X-Never-Ran": "1"}


def upload_for(plan: RequestPlan) -> bytes:
    """Return the body of a request."""
    return body_for(f"upload of {plan.trace}", plan.upload)


class ServerIdentity:
    """The process at one address: its id in the endpoint list, and its cell."""

    def __init__(self, name: str, cell: int) -> None:
        """Begin with the first process."""
        self.name, self.cell, self.starts = name, cell, 1
        self.started_ms = 0  # as discovery lists it, from the second process on
        self.known_at = -inf  # from when on the sidecar can know of the process
        self.allowed_until = inf  # requests may begin here until then, as it drains

    @property
    def endpoint_id(self) -> str:
        """The id of the process in the endpoint list."""
        return self.name if self.starts == 1 else f"{self.name}-{self.starts}"

    def restart(self, cell: int) -> None:
        """Have another process take the address."""
        self.starts, self.cell, self.known_at = self.starts + 1, cell, inf
        self.started_ms = int(time.time() * 1000)


class SoakServers:
    """The handlers of all servers, and the process at each."""

    def __init__(self, judge: Judge) -> None:
        """Record runs with the judge."""
        self.judge = judge
        self.identities: dict[str, ServerIdentity] = {}

    def handler_for(self, name: str) -> Handler:
        """Return the handler of one server."""
        identity = self.identities[name] = ServerIdentity(name, cell=int(name[1:]) % 2)

        async def answer(request: Request) -> Response:
            return await self._answer(identity, request)

        return answer

    async def _answer(self, identity: ServerIdentity, request: Request) -> Response:
        trace = request.headers.get("x-trace-id")
        if trace is None:
            return Response(404)
        record = self.judge.records.get(trace)
        if record is None:
            self.judge.other_violations.append(f"unknown request at {identity.endpoint_id}: {trace}")
            return Response(400)
        plan, now = record.plan, asyncio.get_running_loop().time()
        run = Run(now, request.head_at, identity.endpoint_id, identity.cell, has_run=not plan.never_ran)
        run.place_known = now > identity.known_at
        run.allowed_until = identity.allowed_until
        if not plan.upload:
            run.told_timeout = int(request.headers.get("x-expires-in-ms", "0")) / 1000
            run.time_left = record.last_begun_at + plan.timeout - now
        self.judge.runs.setdefault(trace, []).append(run)
        if request.body != upload_for(plan):
            self.judge.other_violations.append(f"{trace}: {len(request.body)} of {plan.upload} bytes arrived")
        await asyncio.sleep(plan.work)
        run.delivery = dataclasses.replace(plan.delivery)
        headers = NEVER_RAN if plan.never_ran else {}
        return Response(plan.status, body_for(trace, plan.length), headers, delivery=run.delivery)
