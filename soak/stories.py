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
    :param copied: what targets write once more: ``refusals``, or
        ``responses`` of any kind; empty for nothing.
    :param copied_soon: whether they do so soon after the response, instead of
        before the next one.
    :param copied_without_id: whether copies don't name their request.
    :param new_ids: whether targets get new ids at their addresses in series.
    :param exchanges: whether targets exchange their addresses in series.
    :param targets: number of targets, two of which leave.
    :param crowds: whether crowds of clients that don't behave come in series.
    """

    failure: str = ""
    signal_sent: signal.Signals | None = None
    in_turn: bool = False
    cuts: bool = False
    crashes: bool = False
    alone: bool = False
    copied: str = ""
    copied_soon: bool = False
    copied_without_id: bool = False
    new_ids: bool = False
    exchanges: bool = False
    targets: int = 6
    crowds: bool = False


def draw_story(rng: random.Random) -> Story:
    """Return a random story."""
    return Story(
        rng.choice(["", "error", "close", "cut", "hang", "backoff"]),
        rng.choice([None, signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP]),
        rng.random() < 0.3,
        rng.random() < 0.5,
        rng.random() < 0.3,
        rng.random() < 0.5,
        rng.choice(["", "", "refusals", "responses"]),
        rng.random() < 0.3,
        rng.random() < 0.2,
        rng.random() < 0.5,
        rng.random() < 0.3,
        rng.choice([4, 6]),
        rng.random() < 0.5,
    )
