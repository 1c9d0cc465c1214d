"""The stories of the soak: faults that last and come in series."""

import dataclasses
import random
import signal


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """Faults that last and come in series, beside the single ones.

    :param failure: the fault of nearly all runs; empty for none.
    :param signal_sent: the signal that all routers get, one series after the
        other; none for no restarts.
    :param in_turn: whether they get it one after the other.
    :param cuts: whether paths to targets are cut in series.
    :param crashes: whether targets crash and come back in series.
    :param alone: whether there are no single faults besides.
    """

    failure: str = ""
    signal_sent: signal.Signals | None = None
    in_turn: bool = False
    cuts: bool = False
    crashes: bool = False
    alone: bool = False


def draw_story(rng: random.Random) -> Story:
    """Return a random story."""
    return Story(
        rng.choice(["", "error", "close", "cut", "hang", "backoff"]),
        rng.choice([None, signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP]),
        rng.random() < 0.3,
        rng.random() < 0.5,
        rng.random() < 0.3,
        rng.random() < 0.5,
    )
