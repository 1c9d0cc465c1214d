"""The error of a settings file that can't be used."""


class SettingsError(Exception):
    """A settings file that can't be used.

    :param path: the file.
    :param problems: one line for each problem.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.path = path
        self.problems = problems

    def show(self) -> str:
        """Return the text for a terminal, one problem a line."""
        return "\n".join(f"{self.path}: {line}" for line in self.problems)
