"""What the status of a response states to a caller.

Callers take some statuses as a promise that their request has not run and
never will, and may send it again at once. A status of a target becomes one
for a caller only in a :class:`RelayedHead`, which can't hold such a promise.
The router makes promises of its own in :class:`~bulrushdale.results.Refusal`.
"""

from collections import abc
import dataclasses

_NOT_RUN = frozenset({408, 421, 429, 503})


class UnfoundedPromiseError(ValueError):
    """A status promises that a request did not run, but it may have run.

    :param status: the status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}, but the request may have run")


def promises_not_run(status: int) -> bool:
    """Return whether callers infer from a status that nothing ran.

    :param status: HTTP status.
    """
    return status in _NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHead:
    """Status and headers of a response that a target sent to a caller.

    :param status: HTTP status.
    :param headers: headers for the caller.
    :raises UnfoundedPromiseError: if the status promises that the request did
        not run. A target that states this is believed, and its response isn't
        relayed: the request goes to another target, or is refused.
    """

    status: int
    headers: abc.Sequence[tuple[str, str]]

    def __post_init__(self) -> None:
        if promises_not_run(self.status):
            raise UnfoundedPromiseError(self.status)
