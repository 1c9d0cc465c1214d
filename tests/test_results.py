"""The result codes and their page."""

import pathlib

from bulrushdale import results

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "RESULT-CODES.md"


def rows() -> list[list[str]]:
    return [
        [
            str(int(code)),
            code.name,
            str(meaning.status or "-"),
            meaning.ran.value,
            "yes" if meaning.retry else "no",
            meaning.advice,
        ]
        for code, meaning in results.MEANINGS.items()
    ]


def test_the_page_lists_every_code_as_it_is() -> None:
    lines = PAGE.read_text().splitlines()
    found = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("| ") and line[2].isdigit()
    ]
    assert found == rows()


def test_every_code_has_a_meaning() -> None:
    assert set(results.MEANINGS) == set(results.Code)


def test_a_refusal_may_say_more_than_its_code() -> None:
    error = results.refuse(
        results.Code.NO_TARGET, "none", 5, results.Ran.UNKNOWN
    )
    assert error.refusal.effect == results.Ran.UNKNOWN
    assert str(error) == "3004 none"
