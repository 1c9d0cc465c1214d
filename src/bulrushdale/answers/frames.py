"""Checking the frames of one engine stream."""

import dataclasses

FRAME_END = b"\n\n"
END_MARK = b"[DONE]"
FRAME_LIMIT_BYTES = 1_048_576


@dataclasses.dataclass(slots=True)
class Counts:
    """What was dropped from a stream.

    :ivar crossed: frames of another stream.
    :ivar late: frames that had arrived before.
    """

    crossed: int = 0
    late: int = 0


class Splitter:
    """Turns bytes of one stream into its frames, in order.

    :param stream: the engine's name for the stream.
    :param last: the number of the last frame received; -1 for none.

    :ivar last: the number of the newest frame taken.
    :ivar gap: whether a frame is missing, so that the stream has to be
        resumed behind :attr:`last`.
    :ivar done: whether the end mark was seen.

    .. versionadded:: 0.1
    """

    __slots__ = ("_prefix", "_buffer", "last", "gap", "done", "counts")

    def __init__(self, stream: str, last: int = -1) -> None:
        self._prefix = f"id: {stream}/".encode()
        self._buffer = b""
        self.last = last
        self.gap = False
        self.done = False
        self.counts = Counts()

    def restart(self) -> None:
        """Forget a partial frame before the stream is resumed."""
        self._buffer = b""
        self.gap = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the frames that *data* completes.

        :param data: bytes as they came.
        """
        taken: list[bytes] = []
        *frames, self._buffer = (self._buffer + data).split(FRAME_END)
        if len(self._buffer) > FRAME_LIMIT_BYTES:
            self.gap = True
        for frame in frames:
            content = self._check(frame)
            if content is not None:
                taken.append(content)
            if self.gap or self.done:
                break
        return taken

    def _check(self, frame: bytes) -> bytes | None:
        if not frame.startswith(self._prefix):
            if frame and not frame.startswith(b":"):
                self.counts.crossed += 1
            return None
        head, _, content = frame.partition(b"\ndata: ")
        try:
            number = int(head[len(self._prefix) :])
        except ValueError:
            self.counts.crossed += 1
            return None
        if number <= self.last:
            self.counts.late += 1
            return None
        if number > self.last + 1:
            self.gap = True
            return None
        self.last = number
        if content == END_MARK:
            self.done = True
        return content
