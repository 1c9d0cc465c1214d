"""Frames of engine streams: foreign, duplicate and missing frames."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bulrushdale.answers import frames


def frame(number: int, data: bytes, stream: str = "s") -> bytes:
    return f"id: {stream}/{number}\ndata: ".encode() + data + b"\n\n"


def test_frames_of_another_stream_are_dropped() -> None:
    parser = frames.FrameParser("s")
    data = frame(0, b"a") + frame(1, b"x", "other") + frame(1, b"b")
    assert parser.feed(data) == [b"a", b"b"]
    assert parser.drop_counts.foreign == 1


def test_stream_whose_name_extends_ours_is_foreign() -> None:
    parser = frames.FrameParser("s")
    assert parser.feed(frame(0, b"x", "s/0")) == []
    assert parser.drop_counts.foreign == 1


def test_duplicate_frames_are_dropped() -> None:
    parser = frames.FrameParser("s")
    data = frame(0, b"a") + frame(0, b"a") + frame(1, b"b") + frame(0, b"a")
    assert parser.feed(data) == [b"a", b"b"]
    assert parser.drop_counts.duplicate == 2


def test_missing_frame_is_a_gap() -> None:
    parser = frames.FrameParser("s")
    assert parser.feed(frame(0, b"a") + frame(2, b"c")) == [b"a"]
    assert parser.gap


def test_frame_above_size_limit_is_a_gap() -> None:
    parser = frames.FrameParser("s")
    parser.feed(b"x" * (frames.FRAME_LIMIT_BYTES + 1))
    assert parser.gap


def test_nothing_follows_the_end_mark() -> None:
    parser = frames.FrameParser("s")
    data = frame(0, frames.END_MARK) + frame(1, b"b")
    assert parser.feed(data) == [frames.END_MARK]
    assert parser.done


def test_nothing_is_returned_after_the_end_mark():
    parser = frames.FrameParser("s")
    assert parser.feed(frame(0, frames.END_MARK)) == [frames.END_MARK]
    assert parser.feed(frame(1, b"late")) == []


@settings(derandomize=True, max_examples=300)
@given(
    words=st.lists(st.binary(max_size=8).filter(lambda w: b"\n" not in w)),
    noise=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9))),
    cuts=st.lists(st.integers(1, 40)),
)
def test_any_noise_in_any_pieces_yields_the_words_in_order(
    words: list[bytes], noise: list[tuple[int, int]], cuts: list[int]
) -> None:
    sent = [frame(number, word) for number, word in enumerate(words)]
    for place, late in noise:
        stray = frame(late, b"stray", "other")
        repeated = (
            frame(min(late, place), words[min(late, place)])
            if (place < len(words))
            else stray
        )
        sent.insert(min(2 * place, len(sent)), stray)
        if place < len(words):
            index = sent.index(frame(place, words[place]))
            sent.insert(index + 1, repeated)
    data = b"".join(sent)
    parser = frames.FrameParser("s")
    taken: list[bytes] = []
    for cut in cuts:
        taken += parser.feed(data[:cut])
        data = data[cut:]
    taken += parser.feed(data)
    expected = words
    if frames.END_MARK in words:
        expected = words[: words.index(frames.END_MARK) + 1]
    assert taken == expected
