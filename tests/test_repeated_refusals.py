"""A target that writes an earlier refusal once more on a kept connection."""

import collections

import aiohttp
import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures


class RefusingTarget:
    """Script that refuses the first request of each connection.

    Later requests on a connection get the refusal once more, then run.

    :ivar names_request: whether the refusal names its request.
    :ivar ran: how often each request ran, by its id.
    """

    def __init__(self, status, names_request):
        self.status = status
        self.names_request = names_request
        self.ran = collections.Counter()
        self._refusals = {}

    async def __call__(self, request, writer):
        if writer not in self._refusals:
            refusal = scripted_target.response(
                request, self.status, X_Not_Executed="1"
            )
            if not self.names_request:
                lines = refusal.split(b"\r\n")
                del lines[1]
                refusal = b"\r\n".join(lines)
            self._refusals[writer] = refusal
            writer.write(refusal)
            return
        writer.write(self._refusals[writer])
        self.ran[request.request_id] += 1
        writer.write(scripted_target.response(request))


@pytest.mark.parametrize("names_request", [True, False])
@pytest.mark.parametrize(
    "status", ["503 Full", "429 Busy", "421 Other", "400 No Id"]
)
async def test_repeated_refusal_is_not_taken_for_the_next_request(
    status, names_request
):
    """Orders that ran are not refused as not run, and run once."""
    script = RefusingTarget(status, names_request)
    async with gateway_fixtures.running_deployment("t1") as deployment:
        deployment.targets[0].script = script
        async with aiohttp.ClientSession() as caller:
            for number in range(6):
                async with caller.post(
                    deployment.url("/order/x"),
                    headers={
                        "Host": "example.test",
                        "X-Request-Id": f"q{number}",
                        "X-Deadline-Ms": "1000",
                        "Authorization": "Bearer key-1",
                    },
                ) as response:
                    await response.read()
                assert script.ran[f"q{number}"] <= 1
                if script.ran[f"q{number}"]:
                    assert response.status in (200, 502)
