"""Answer ids: authentic, and of use to their own team only."""

import pytest

from bulrushdale.answers import ids
from bulrushdale import results

ANSWER = ids.AnswerId("chat", "engine-1", "engine-1-7", "req")


@pytest.fixture
def signer() -> ids.Signer:
    return ids.Signer(["a-secret-for-answers"])


def test_an_id_comes_back(signer: ids.Signer) -> None:
    text = signer.sign(ANSWER, "bakery")
    assert signer.verify(f"{text}.12", "bakery") == (ANSWER, 12)


@pytest.mark.parametrize(
    "spoil",
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
def test_a_spoilt_id_is_refused(signer: ids.Signer, spoil) -> None:
    with pytest.raises(results.RefusedError) as caught:
        signer.verify(spoil(signer.sign(ANSWER, "bakery")), "bakery")
    assert caught.value.refusal.code == results.Code.ANSWER_ID_INVALID


def test_another_teams_id_is_refused(signer: ids.Signer) -> None:
    text = signer.sign(ANSWER, "bakery")
    with pytest.raises(results.RefusedError):
        signer.verify(f"{text}.0", "agencia")


def test_an_older_secret_still_checks(signer: ids.Signer) -> None:
    text = signer.sign(ANSWER, "bakery")
    rotated = ids.Signer(["a-newer-secret-here", "a-secret-for-answers"])
    assert rotated.verify(f"{text}.3", "bakery") == (ANSWER, 3)
