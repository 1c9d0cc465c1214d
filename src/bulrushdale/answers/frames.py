"""Parser of the frames of an engine's stream.

A frame is one server-sent event. Its id names the stream and the number of
the frame, which increases by one.
"""

import dataclasses

FRAME_END = b"\n\n"
END_MARK = b"[DONE]"
FRAME_LIMIT_BYTES = 1_048_576


@dataclasses.dataclass(slots=True)
class DropCounts:
    """Counts of the frames dropped from a stream.

    :ivar foreign: frames of another stream.
    :ivar duplicate: frames that had been received before.
    """

    foreign: int = 0
    duplicate: int = 0


class FrameParser:
    """Parses the bytes of one stream into its frames, in order.

    :param stream_id: the engine's name for the stream.
    :param last_number: the number of the last frame received; -1 for none.

    :ivar last_number: the number of the last accepted frame.
    :ivar gap: whether a frame is missing or too long, so that the stream
        has to be resumed after :attr:`last_number`.
    :ivar done: whether the end mark was received.
    :ivar drop_counts: counts of the frames dropped.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_prefix",
        "_buffer",
        "last_number",
        "gap",
        "done",
        "drop_counts",
    )

    def __init__(self, stream_id: str, last_number: int = -1) -> None:
        self._prefix = f"id: {stream_id}/".encode()
        self._buffer = b""
        self.last_number = last_number
        self.gap = False
        self.done = False
        self.drop_counts = DropCounts()

    def reset(self) -> None:
        """Discard a partial frame before the stream is resumed."""
        self._buffer = b""
        self.gap = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the frames that *data* completes.

        Frames of other streams and repeated ones are dropped. Frames of *data*
        after a gap or the end mark are discarded.

        :param data: the bytes received.
        """
        accepted: list[bytes] = []
        if self.done:
            return accepted
        *frames, self._buffer = (self._buffer + data).split(FRAME_END)
        if len(self._buffer) > FRAME_LIMIT_BYTES:
            self.gap = True
        for frame in frames:
            content = self._parse_frame(frame)
            if content is not None:
                accepted.append(content)
            if self.gap or self.done:
                break
        return accepted

    def _parse_frame(self, frame: bytes) -> bytes | None:
        """Return the data of a frame; None if it isn't the next one."""
        if not frame.startswith(self._prefix):
            if frame and not frame.startswith(b":"):
                self.drop_counts.foreign += 1
            return None
        id_line, _, content = frame.partition(b"\ndata: ")
        try:
            number = int(id_line[len(self._prefix) :])
        except ValueError:
            self.drop_counts.foreign += 1
            return None
        if number <= self.last_number:
            self.drop_counts.duplicate += 1
            return None
        if number > self.last_number + 1:
            self.gap = True
            return None
        self.last_number = number
        if content == END_MARK:
            self.done = True
        return content
