"""Tests of the settings file; each error names the wrong setting."""

import pytest
import yaml

from bulrushdale import settings

VALID = {
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


def parse_problems(text: str) -> list[str]:
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(text, "router.yaml")
    return caught.value.problems


def settings_with(**fields: object) -> str:
    return yaml.safe_dump({**VALID, **fields})


def test_valid_settings_are_accepted() -> None:
    parsed = settings.parse(yaml.safe_dump(VALID), "router.yaml")
    assert parsed.listen.caller_port == 8001
    assert parsed.links.lease_ms == 2_500


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (settings_with(colour="red"), "colour: unknown setting"),
        (settings_with(router=7), "router: input should be a valid string"),
        (
            settings_with(
                listen={**VALID["listen"], "host": "router.example"}
            ),
            "listen.host: expected an IP number, such as 10.1.2.3",
        ),
        (
            settings_with(listen={**VALID["listen"], "caller_port": 70_000}),
            "listen.caller_port: input should be less than or equal to 65535",
        ),
        (
            settings_with(links={"lease": 5}),
            "links.lease: unknown setting",
        ),
        (
            settings_with(links={"lease_ms": 9_000}),
            "links: expected heartbeat_interval_ms < lease_ms < switch_ms",
        ),
        ("a: [1", "line 1: expected ',' or ']', but got '<stream end>'"),
        ("just text", "(file): expected a mapping of settings"),
    ],
)
def test_invalid_setting_is_reported(text: str, expected: str) -> None:
    assert expected in parse_problems(text)


def test_missing_setting_is_reported() -> None:
    text = yaml.safe_dump({k: v for k, v in VALID.items() if k != "router"})
    assert parse_problems(text) == ["router: required setting is missing"]


def test_missing_file_is_reported() -> None:
    with pytest.raises(settings.SettingsError) as caught:
        settings.load("no-such-file.yaml")
    assert caught.value.show() == (
        "no-such-file.yaml: No such file or directory"
    )
