"""Test that the example of the platform's router prints what it should."""

from examples import platform


async def test_example_of_the_platform(capsys):
    await platform.main()
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "POST /orders/1: 200 ordered"
    assert lines[1].startswith("POST /plans/1: 200 id: 0")
    assert lines[2] == "POST /orders/2: 200 ordered"
    assert lines[3].startswith("POST /nowhere/1: 404")
    assert lines[4].startswith("requests at each target")
