"""Test that the soak's targets copy responses where they say so."""

import asyncio
import collections
import random

import pytest

from examples.standins import scripted_target
from soak import copies as copies_module


class Writer:
    """Collects what a target writes to one connection."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(data)

    def is_closing(self):
        return False


@pytest.fixture
def met():
    return collections.Counter()


@pytest.fixture
def open_copies(met):
    """Return a function that returns copies, early or late ones."""

    def open_one(soon=False):
        return copies_module.Copies(random.Random(1), soon, met)

    return open_one


def refuse(copies, writer, request_id):
    """Refuse a request, and keep the refusal."""
    request = scripted_target.ReceivedRequest(
        "POST / HTTP/1.1", {"x-request-id": request_id}, b""
    )
    copies.begin(writer, request_id)
    refusal = scripted_target.response(request, "503 Full")
    copies.keep(writer, request, refusal)
    writer.write(refusal)
    copies.end(writer)
    return refusal


def test_request_always_meets_the_copy_of_its_own_refusal(open_copies, met):
    copies = open_copies()
    for number in range(20):
        writer = Writer()
        refusal = refuse(copies, writer, f"q{number}")
        copies.begin(writer, f"q{number}")
        assert writer.written == [refusal, refusal]
    assert met == {True: 20}


def test_share_of_the_other_requests_meets_a_copy_once(open_copies, met):
    copies = open_copies()
    for _ in range(200):
        writer = Writer()
        refuse(copies, writer, "q1")
        copies.begin(writer, "q2")
        copies.end(writer)
        copies.begin(writer, "q3")
        assert len(writer.written) <= 2
    assert 60 < met[False] < 140
    assert not met[True]


def test_copy_stays_on_its_connection(open_copies, met):
    copies = open_copies()
    refuse(copies, Writer(), "q1")
    writer = Writer()
    copies.begin(writer, "q1")
    assert writer.written == []
    assert not met


@pytest.mark.parametrize("next_id, own", [("q1", True), ("q2", False)])
async def test_late_copy_is_met_by_the_request_that_waits(
    open_copies, met, next_id, own
):
    copies, writer = open_copies(soon=True), Writer()
    refusal = refuse(copies, writer, "q1")
    copies.begin(writer, next_id)
    await asyncio.sleep(2 * copies_module.SOON_S)
    assert writer.written == [refusal, refusal]
    assert met == {own: 1}


async def test_late_copy_on_an_idle_connection_is_met_by_the_next_request(
    open_copies, met
):
    copies, writer = open_copies(soon=True), Writer()
    refusal = refuse(copies, writer, "q1")
    await asyncio.sleep(2 * copies_module.SOON_S)
    assert writer.written == [refusal, refusal]
    assert not met
    copies.begin(writer, "q2")
    assert met == {False: 1}


async def test_late_copy_interrupts_no_answer(open_copies, met):
    copies, writer = open_copies(soon=True), Writer()
    refusal = refuse(copies, writer, "q1")
    copies.begin(writer, "q2")
    copies.begin_answer(writer)
    await asyncio.sleep(2 * copies_module.SOON_S)
    assert writer.written == [refusal]
    assert not met
