"""The settings file: each mistake is named with its place."""

import pytest
import yaml

from bulrushdale import settings

GOOD = {
    "router": "mid-a-router-0",
    "data_centre": "mid-a",
    "listen": {
        "host": "127.0.0.1",
        "caller_port": 8001,
        "operator_port": 8002,
        "link_port": 8003,
    },
    "platform": {
        "store_url": "http://127.0.0.1:7001",
        "vm_list_url": "http://127.0.0.1:7002/vms",
    },
    "fleet_secret": "a-secret-of-the-fleet",
    "answer_secrets": ["a-secret-for-answers"],
    "operator_key_sha256": ["0" * 64],
}


def problems(text: str) -> list[str]:
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(text, "router.yaml")
    return caught.value.problems


def changed(**fields: object) -> str:
    return yaml.safe_dump({**GOOD, **fields})


def test_good_settings_are_taken() -> None:
    found = settings.parse(yaml.safe_dump(GOOD), "router.yaml")
    assert found.listen.caller_port == 8001
    assert found.links.lease_ms == 2_500


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (changed(colour="red"), "colour: unknown setting"),
        (changed(router=7), "router: input should be a valid string"),
        (
            changed(listen={**GOOD["listen"], "host": "router.example"}),
            "listen.host: expected an IP number, such as 10.1.2.3",
        ),
        (
            changed(listen={**GOOD["listen"], "caller_port": 70_000}),
            "listen.caller_port: input should be less than or equal to 65535",
        ),
        (
            changed(links={"lease": 5}),
            "links.lease: unknown setting",
        ),
        (
            changed(links={"lease_ms": 9_000}),
            "links: expected heartbeat_interval_ms < lease_ms < switch_ms",
        ),
        ("a: [1", "line 1: expected ',' or ']', but got '<stream end>'"),
        ("just text", "(file): expected a mapping of settings"),
    ],
)
def test_a_mistake_is_named(text: str, expected: str) -> None:
    assert expected in problems(text)


def test_a_missing_setting_is_named() -> None:
    text = yaml.safe_dump({k: v for k, v in GOOD.items() if k != "router"})
    assert problems(text) == ["router: required setting is missing"]


def test_a_missing_file_is_named() -> None:
    with pytest.raises(settings.SettingsError) as caught:
        settings.load("no-such-file.yaml")
    assert caught.value.show() == (
        "no-such-file.yaml: No such file or directory"
    )
