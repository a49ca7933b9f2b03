"""The judge of the soak excuses what the sidecar can't help, and nothing that it could have held back."""

import pytest

from fakes.client_connection import ReceivedResponse
from fakes.delivery import Delivery, Ending, Framing
from trials.soak.judge import ClientRecord, Excuse, Judge, Kill, Run, body_for
from trials.soak.plan import Kind, RequestPlan, SoakPlan

SENT_AT, TIMEOUT = 100.0, 2.0
LONG, SHORT = 150_000, 1_500


def judge_one(
    ended_after: float,
    sent: int,
    length: int = SHORT,
    body_after: float | None = 0.1,
    ending: Ending = Ending.RESET,
    seen_after: float | None = None,
    **response: object,
) -> tuple[list[str], dict[str, int]]:
    """Return violations and counts for a response that its server ended so many seconds after the request."""
    judge = Judge(SoakPlan(1))
    delivery = Delivery(Framing.CHUNKED, ending=ending, head_at=SENT_AT + 0.05, sent=sent)
    delivery.body_at = None if body_after is None else SENT_AT + body_after
    end = SENT_AT + ended_after
    if ending is Ending.COMPLETE:
        delivery.completed_at = end
    else:
        delivery.ended_at = end
    plan = RequestPlan("pay-1", "pay", Kind.BREAK_SOON, TIMEOUT, length, delivery)
    record = ClientRecord(plan, "n0", SENT_AT, SENT_AT)
    seen = SENT_AT + (ended_after + 0.002 if seen_after is None else seen_after)
    fields = {"status": 200, "body": body_for("pay-1", length)[:sent], "was_closed": True} | response
    record.responses.append(ReceivedResponse(first_byte_at=min(seen, SENT_AT + 0.1), ended_at=seen, **fields))
    judge.records["pay-1"] = record
    judge.runs["pay-1"] = [Run(SENT_AT + 0.001, SENT_AT + 0.001, "s1", 0, delivery=delivery)]
    return judge.violations(), judge.counts


@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE, Ending.NOISE])
@pytest.mark.parametrize("ended_after", [0.05, 0.5, 1.3, 1.8])
@pytest.mark.parametrize("length", [SHORT, LONG])
def test_a_response_that_could_have_been_held_back_is_no_excuse(
    ending: Ending, ended_after: float, length: int
) -> None:
    """Its client has got a part of it, or a head alone, though nothing had required that (issue 78)."""
    body_after = None if ended_after > 1.4 else 0.1
    violations, _ = judge_one(ended_after, 0 if body_after is None else 900, length, body_after, ending)
    assert len(violations) == 1 and "incomplete: 200" in violations[0]


def test_the_end_that_counts_is_the_servers_and_not_the_one_that_the_client_saw() -> None:
    """A response that its server ended early is not excused by ending late for its client."""
    violations, _ = judge_one(0.5, 900, ending=Ending.NOISE, seen_after=5.5)
    assert len(violations) == 1 and "incomplete" in violations[0]


@pytest.mark.parametrize(
    ("excuse", "case"),
    [
        (Excuse.LONG, {"ended_after": 0.5, "sent": 70_000, "length": LONG}),
        (Excuse.LATE, {"ended_after": 1.95, "sent": 900, "body_after": 1.0}),
        (Excuse.LATE, {"ended_after": 3.5, "sent": 0, "body_after": None}),
        (Excuse.HELD, {"ended_after": 1.87, "sent": 900, "body_after": 0.1}),
    ],
)
def test_what_the_sidecar_could_not_help_is_counted(excuse: Excuse, case: dict[str, object]) -> None:
    """By its row."""
    violations, counts = judge_one(**case)  # type: ignore[arg-type]
    assert not violations and counts[excuse.value] == 1


def test_a_late_last_byte_is_excused_only_where_nothing_told_that_the_response_was_short() -> None:
    """With a length of up to 64 KiB it has to be given up at its client's time."""
    late = {"ended_after": 2.9, "sent": SHORT, "ending": Ending.COMPLETE}
    complete = {"is_complete": True, "was_closed": False}
    violations, counts = judge_one(**late, **complete)  # type: ignore[arg-type]
    assert not violations and counts[Excuse.LENGTH_UNKNOWN.value] == 1


def test_a_close_without_an_answer_is_no_excuse() -> None:
    """The request was taken and forwarded."""
    violations, _ = judge_one(0.5, 900, status=0, body=b"")
    assert violations


@pytest.mark.parametrize("sidecar", ["n0", "n1"])
def test_the_kill_of_a_sidecar_excuses_its_own_clients_only(sidecar: str) -> None:
    """Another one's kill may come in the same moment."""
    judge = Judge(SoakPlan(1))
    record = ClientRecord(RequestPlan("pay-1", "pay", Kind.USUAL, TIMEOUT), "n0", SENT_AT, SENT_AT)
    record.responses.append(ReceivedResponse(ended_at=SENT_AT + 0.5, was_closed=True))
    judge.records["pay-1"] = record
    judge.kills.append(Kill(sidecar, SENT_AT + 0.495))
    (violation,) = judge.violations()
    assert ("at the kill" in violation) == (sidecar == "n0")
