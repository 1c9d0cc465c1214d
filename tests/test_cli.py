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
    path.write_text(yaml.safe_dump(test_settings.VALID))
    found = run("check-config", str(path))
    assert found.exit_code == 0
    assert "settings of router mid-a-router-0 are valid" in found.output


def test_bad_settings_are_one_line_each(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "router.yaml"
    path.write_text(yaml.safe_dump({**test_settings.VALID, "colour": 1}))
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


PLATFORM_SETTINGS = """
node_name = "r1"
ip = "10.1.0.40"
zone = "dc1"
internal_ports = [7340, 7355]
seeds = ["10.1.0.41:8229"]
unknown = "is left alone"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[platform]
address = "10.200.1.7:8223"
"""


def test_settings_of_the_platform_are_checked(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(PLATFORM_SETTINGS)
    found = run("check-config", str(path))
    assert found.output.strip().endswith("settings of router r1 are valid")
    path.write_text(PLATFORM_SETTINGS.replace("zone =", "area ="))
    found = run("check-config", str(path))
    assert found.exit_code == 2
    assert (
        found.output.strip()
        == f"bulrushdale: {path}: zone: the field is missing"
    )
    wrong = PLATFORM_SETTINGS.replace("[7340, 7355]", "7340")
    path.write_text(wrong.replace('"10.200.1.7:8223"', "8223"))
    found = run("check-config", str(path))
    assert "internal_ports: Expected `array`, got `int`" in found.output
    assert "platform: Expected `str`, got `int`" in found.output
    path.write_text(f"{PLATFORM_SETTINGS}[bounds]\ndrain_ms = 2000.0\n")
    assert run("check-config", str(path)).exit_code == 0


def test_story_joins_the_logs_of_several_routers(
    tmp_path: pathlib.Path,
) -> None:
    for name, second, event in (("r2", 2, "answered"), ("r1", 1, "placed")):
        (tmp_path / name).write_text(
            "not a line of ours\n"
            f'{{"timestamp":"T{second}","router":"{name}",'
            f'"event":"request.{event}","request_id":"q1","load":3}}\n'
            '{"event":"request.placed","request_id":"q2"}\n'
        )
    files = [str(tmp_path / name) for name in ("r2", "r1")]
    found = run("story", "q1", *files)
    assert found.output.splitlines() == [
        "T1  r1  request.placed       load=3",
        "T2  r2  request.answered     load=3",
    ]
    found = run("story", "q9", *files)
    assert found.exit_code == 2
    assert "no line of these files names q9" in found.output
    found = run("story", "q1", str(tmp_path / "missing"))
    assert found.exit_code == 2
