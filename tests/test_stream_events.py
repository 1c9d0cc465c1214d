"""Events of a stream are relayed complete, in order and once."""

from hypothesis import given
from hypothesis import strategies

from bulrushdale.forwarding import events


def make_event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def feed_all(parser, pieces):
    parsed = [parser.feed(piece) for piece in pieces]
    return b"".join(f.data for f in parsed), [
        f.error for f in parsed if f.error
    ]


@given(strategies.integers(0, 9), strategies.lists(strategies.integers(1, 40)))
def test_any_split_of_the_stream_gives_the_same_events(count, cuts):
    stream = b"".join(make_event(n) for n in range(count))
    pieces, rest = [], stream
    for cut in cuts:
        pieces.append(rest[:cut])
        rest = rest[cut:]
    parser = events.EventParser(None)
    data, faults = feed_all(parser, [*pieces, rest])
    assert (data, faults) == (stream, [])
    assert not parser.within_event


@given(
    strategies.lists(strategies.integers(0, 6), min_size=1, max_size=8),
    strategies.booleans(),
)
def test_only_events_in_order_are_returned(numbers, at_once):
    """Nothing after a gap or a repeat is returned or counted."""
    parser = events.EventParser(None)
    pieces = [make_event(n) for n in numbers]
    if at_once:
        pieces = [b"".join(pieces)]
    expected = [numbers[0]]
    for number in numbers[1:]:
        if number != expected[-1] + 1:
            break
        expected.append(number)
    data = b""
    for piece in pieces:
        parsed = parser.feed(piece)
        data += parsed.data
        if parsed.error:
            break
    assert data == b"".join(make_event(n) for n in expected)
    assert parser.last_id == expected[-1]


def test_resumed_stream_continues_after_the_last_event():
    parser = events.EventParser(4)
    assert parser.feed(make_event(4)).error is not None
    assert parser.last_id == 4
    parser.discard_partial_event()
    assert parser.feed(make_event(5)) == events.Events(make_event(5), 1, None)


def test_event_cut_short_is_not_returned():
    parser = events.EventParser(None)
    assert parser.feed(make_event(0)[:-1]).data == b""
    assert parser.within_event
    parser.discard_partial_event()
    assert parser.feed(make_event(0)).data == make_event(0)


def test_lines_may_end_in_carriage_returns():
    parser = events.EventParser(None)
    event = b"id: 0\r\ndata: x\r\n\r\n"
    assert parser.feed(event + event).data == event
    assert parser.last_id == 0
