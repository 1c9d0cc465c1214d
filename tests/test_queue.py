"""Weighted queueing: shares follow weights, and no team starves."""

import collections

from bulrushdale.admission import queue


def request(team: str, weight: int, seq: int) -> queue.QueuedRequest:
    return queue.QueuedRequest("r", seq, team, "c", weight, 0, 0, 0, 0, 10_000)


def serve(waiting: queue.WeightedQueue, count: int) -> collections.Counter:
    served: collections.Counter = collections.Counter()
    for _ in range(count):
        taken, _ = waiting.take(lambda _: "here", lambda _: False)
        waiting.charge(taken.team, taken.weight)
        served[taken.team] += 1
    return served


def test_shares_follow_weights() -> None:
    waiting = queue.WeightedQueue()
    for seq in range(200):
        waiting.push(request("gold", 8, seq))
        waiting.push(request("bronze", 1, 1_000 + seq))
    served = serve(waiting, 90)
    assert served["gold"] == 80
    assert served["bronze"] == 10


def test_team_of_minimum_weight_is_served() -> None:
    waiting = queue.WeightedQueue()
    for seq in range(300):
        waiting.push(request("gold", 100, seq))
    waiting.push(request("bronze", 1, 1_000))
    assert serve(waiting, 300)["bronze"] == 1


def test_blocked_team_does_not_block_others() -> None:
    waiting = queue.WeightedQueue()
    waiting.push(request("gold", 8, 1))
    waiting.push(request("bronze", 1, 2))
    taken, _ = waiting.take(
        lambda item: "here" if item.team == "bronze" else None,
        lambda _: False,
    )
    assert taken.team == "bronze"
    assert len(waiting) == 1


def test_idle_time_earns_no_credit() -> None:
    waiting = queue.WeightedQueue()
    for seq in range(100):
        waiting.push(request("busy", 1, seq))
    serve(waiting, 50)
    for seq in range(50):
        waiting.push(request("idle", 1, 1_000 + seq))
    served = serve(waiting, 20)
    assert served["busy"] >= 9


def test_ahead_counts_own_team_and_weighted_others() -> None:
    waiting = queue.WeightedQueue()
    for seq in range(20):
        waiting.push(request("gold", 8, seq))
    assert waiting.ahead("bronze", 1) == 8
    waiting.push(request("bronze", 1, 100))
    assert waiting.ahead("bronze", 1) == 17


def test_request_on_preferred_target_goes_first_until_pass_limit() -> None:
    waiting = queue.WeightedQueue()
    waiting.push(request("gold", 1, 0))
    for seq in range(1, 40):
        waiting.push(request("gold", 1, seq))
    order = []
    while len(waiting):
        taken, _ = waiting.take(lambda item: item.seq, lambda seq: seq % 2)
        waiting.charge(taken.team, taken.weight)
        order.append(taken.seq)
    assert order[: queue.MAX_PASSES] == [1, 3, 5, 7, 9, 11, 13, 15]
    assert order[queue.MAX_PASSES] == 0
    assert sorted(order) == list(range(40))


def test_first_request_starts_if_none_is_on_a_preferred_target() -> None:
    waiting = queue.WeightedQueue()
    waiting.push(request("gold", 1, 0))
    assert waiting.take(lambda _: "far", lambda _: False)[0].seq == 0
    assert waiting.take(lambda _: "far", lambda _: False) is None


def test_removed_requests_are_not_queued() -> None:
    waiting = queue.WeightedQueue()
    for seq in range(4):
        waiting.push(request("gold", 1, seq))
    assert len(waiting.remove(lambda item: item.seq < 3)) == 3
    assert waiting.contains("r", 3) and not waiting.contains("r", 0)
    assert len(waiting) == 1
