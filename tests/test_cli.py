"""The command line: one line that shows the way, and status 2."""

import pathlib

from click import testing
import pytest
import yaml

from bulrushdale import cli
from tests import test_settings


def run(*args: str) -> testing.Result:
    return testing.CliRunner().invoke(cli.main, list(args))


def test_good_settings_pass(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "router.yaml"
    path.write_text(yaml.safe_dump(test_settings.GOOD))
    found = run("check-config", str(path))
    assert found.exit_code == 0
    assert "settings of router mid-a-router-0 are valid" in found.output


def test_bad_settings_are_one_line_each(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "router.yaml"
    path.write_text(yaml.safe_dump({**test_settings.GOOD, "colour": 1}))
    for command in (["check-config"], ["router", "--config"]):
        found = run(*command, str(path))
        assert found.exit_code == 2
        assert found.output.strip() == (
            f"bulrushdale: {path}: colour: unknown setting"
        )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("kind: class", "document 1: expected kind, name and spec"),
        (
            "{kind: planet, name: x, spec: {}}",
            "document 1: kind 'planet' is unknown; expected one of",
        ),
        (
            "{kind: class, name: x, spec: {weight: 0, queue_ms: 1}}",
            "document 1: weight: Input should be greater than or equal to 1",
        ),
        ("a: [", "while parsing"),
    ],
)
def test_a_bad_entry_file_is_named(
    tmp_path: pathlib.Path, text: str, expected: str
) -> None:
    path = tmp_path / "entries.yaml"
    path.write_text(text)
    found = run(
        "catalogue",
        "apply",
        str(path),
        "--router",
        "http://127.0.0.1:1",
        "--key",
        "k",
    )
    assert found.exit_code == 2
    assert expected in found.output


def test_a_router_that_is_not_there_is_named() -> None:
    found = run("fleet", "--router", "http://127.0.0.1:1", "--key", "k")
    assert found.exit_code == 2
    assert "6002 ROUTER_UNREACHABLE" in found.output


def test_a_bad_place_is_named() -> None:
    found = run(
        "catalogue",
        "get",
        "bakery",
        "--router",
        "http://127.0.0.1:1",
        "--key",
        "k",
    )
    assert found.exit_code == 2
    assert "bakery: kind 'bakery' is unknown" in found.output


@pytest.mark.parametrize(
    "command",
    [
        ["router"],
        ["check-config"],
        ["key"],
        ["explain"],
        ["fleet"],
        ["catalogue"],
        ["catalogue", "apply"],
        ["catalogue", "get"],
        ["catalogue", "list"],
        ["catalogue", "history"],
        ["catalogue", "delete"],
        ["catalogue", "status"],
    ],
)
def test_help_has_an_example(command: list[str]) -> None:
    found = run(*command, "--help")
    assert found.exit_code == 0
    assert "Example:" in found.output
