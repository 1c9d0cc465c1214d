"""Refuse a request for which no target is available."""

from bulrushdale import results
from bulrushdale.routing import refusals
from bulrushdale.routing import selection as selection_module


def refusal(
    selection: selection_module.Selection,
    service: str,
    rank: int,
    tokens: int,
    detail: str,
) -> results.RefusedError:
    """Return the error of a request that went to no target.

    :param selection: tells why there is no target.
    :param service: the service.
    :param rank: rank of the request among those that need a permit.
    :param tokens: memory that the request needs, in tokens.
    :param detail: one sentence for a human reader.
    """
    permit_wait_ms = selection.permit_wait_ms(service, rank)
    if permit_wait_ms:
        return refusals.refuse(
            results.Code.RATE_LIMITED, detail, permit_wait_ms
        )
    retry_after_ms = max(
        selection.backoff_remaining_ms(service), refusals.RETRY_AFTER_MS
    )
    if selection.all_unreachable(service):
        retry_after_ms = refusals.OTHER_ROUTER_RETRY_AFTER_MS
    code = results.Code.NO_TARGET
    if selection.lacks_memory(service, tokens):
        code = results.Code.QUEUE_FULL
        detail = f"no memory for {tokens} tokens; {detail}"
    return refusals.refuse(code, detail, retry_after_ms)
