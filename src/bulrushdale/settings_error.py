"""The error raised for an invalid settings file."""


class SettingsError(Exception):
    """A settings file that can't be read or is invalid.

    :param path: path of the file.
    :param problems: one line for each problem.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.path = path
        self.problems = problems

    def show(self) -> str:
        """Return the message for a terminal, one line for each problem."""
        return "\n".join(f"{self.path}: {line}" for line in self.problems)
