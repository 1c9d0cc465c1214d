"""Answer ids: authenticity, and use by their own team only."""

import pytest

from bulrushdale.answers import ids
from bulrushdale import results

ANSWER_ID = ids.AnswerId("chat", "engine-1", "engine-1-7", "req")


@pytest.fixture
def signer() -> ids.Signer:
    return ids.Signer(["a-secret-for-answers"])


def test_signed_id_is_verified(signer: ids.Signer) -> None:
    text = signer.sign(ANSWER_ID, "bakery")
    assert signer.verify(f"{text}.12", "bakery") == (ANSWER_ID, 12)


@pytest.mark.parametrize(
    "alter",
    [
        lambda text: f"{text}.12"[1:],
        lambda text: f"{text}.x",
        lambda text: f"{text}.-4",
        lambda text: "",
        lambda text: "a.1",
        lambda text: f"{text[:-2]}AA.1",
        lambda text: "\u00e9.1",
    ],
)
def test_malformed_or_altered_id_is_refused(signer: ids.Signer, alter) -> None:
    with pytest.raises(results.RefusedError) as caught:
        signer.verify(alter(signer.sign(ANSWER_ID, "bakery")), "bakery")
    assert caught.value.refusal.code == results.Code.ANSWER_ID_INVALID


def test_id_of_another_team_is_refused(signer: ids.Signer) -> None:
    text = signer.sign(ANSWER_ID, "bakery")
    with pytest.raises(results.RefusedError):
        signer.verify(f"{text}.0", "agencia")


def test_id_signed_with_previous_secret_is_verified(
    signer: ids.Signer,
) -> None:
    text = signer.sign(ANSWER_ID, "bakery")
    rotated = ids.Signer(["a-newer-secret-here", "a-secret-for-answers"])
    assert rotated.verify(f"{text}.3", "bakery") == (ANSWER_ID, 3)
