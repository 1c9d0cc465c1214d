"""Idempotency keys: their time, their scope and malformed keys."""

import uuid

import pytest

from bulrushdale.claims import keys
from bulrushdale import results

NOW_MS = 1_780_000_000_000


def test_key_contains_its_time() -> None:
    key = keys.parse(keys.generate(NOW_MS), "bakery", "orders", NOW_MS)
    assert key.time_ms == NOW_MS
    assert 0 <= key.partition < keys.PARTITIONS


def test_keys_are_scoped_to_team_and_service() -> None:
    text = keys.generate(NOW_MS)
    digests = {
        keys.parse(text, team, service, NOW_MS).digest
        for team in ("bakery", "agencia")
        for service in ("orders", "medals")
    }
    assert len(digests) == 4


@pytest.mark.parametrize("text", ["", "order-1", str(uuid.uuid4()), "7" * 99])
def test_malformed_keys_are_refused(text: str) -> None:
    with pytest.raises(results.RefusedError) as caught:
        keys.parse(text, "bakery", "orders", NOW_MS)
    assert caught.value.refusal.code == results.Code.KEY_MALFORMED


def test_key_from_the_future_is_refused() -> None:
    text = keys.generate(NOW_MS + 3_600_000)
    with pytest.raises(results.RefusedError):
        keys.parse(text, "bakery", "orders", NOW_MS)
