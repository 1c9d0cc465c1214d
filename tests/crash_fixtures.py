"""Routers that learn of crashes, for tests of quarantines."""

from bulrushdale.forwarding import peer_transport
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import quarantine as quarantine_module
from bulrushdale.routing import reports

SERVICE = "oven"
DEADLY = ("first", "book", "dead")


class Router:
    """The evidence and the decisions of one router."""

    def __init__(self, name, clock):
        self.clock = clock
        self.evidence = crash_evidence.CrashEvidence(clock)
        self.quarantine = quarantine_module.Quarantine(
            self.evidence, name, clock
        )

    def crash(self, number, *prompts, age_ms=0):
        """Record the crash of a target with these prompts begun."""
        self.evidence.record(
            crash_report(number, *prompts, age_ms=age_ms), True
        )

    def withholds(self, *part_ids, service=SERVICE, fingerprint="own"):
        return (
            self.quarantine.check(service, part_ids, fingerprint) is not None
        )

    def answer(self, *part_ids, fingerprint="own"):
        self.quarantine.record_event(SERVICE, part_ids, fingerprint)

    def send_to(self, *others):
        """Deliver a report, encoded as between routers."""
        report = reports.Report(
            "10.0.0.1:1",
            "dc1",
            1,
            1,
            1,
            False,
            0,
            {},
            {},
            {},
            crashes=self.quarantine.crashes_to_report(),
            cleared=self.evidence.recently_cleared(),
            grants_permits=True,
            blocked=self.quarantine.blocks_to_report(),
        )
        report = peer_transport.decode_report(
            peer_transport.encode_report(report)
        )
        for other in others:
            for crash in report.crashes:
                other.evidence.record(crash)
            other.quarantine.clear(report.cleared)
            other.quarantine.merge_blocks(report.blocked, "reported")

    def crash_on(self, number, fingerprint, *part_ids, waiting=()):
        """Record the crash of a target that had begun one request.

        :param waiting: fingerprints of the streams that waited there.
        """
        self.evidence.record(
            crash_evidence.CrashReport(
                f"t{number}",
                1,
                0,
                (
                    tuple(
                        quarantine_module.hash_request(
                            SERVICE, part_ids, fingerprint
                        )
                    ),
                )
                if fingerprint
                else (),
                tuple(
                    quarantine_module.hash_fingerprint(SERVICE, name)
                    for name in waiting
                ),
            ),
            True,
        )


def crash_report(number, *prompts, age_ms=0):
    return crash_evidence.CrashReport(
        f"t{number}",
        1,
        age_ms,
        tuple(
            tuple(quarantine_module.hash_parts(SERVICE, prompt))
            for prompt in prompts
        ),
    )


def crash_repeatedly(router, *prompts, count=3, from_number=0):
    for number in range(from_number, from_number + count):
        router.crash(number, *prompts)
        router.clock.advance(500)
