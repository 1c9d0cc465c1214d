"""Options and functions that several commands use."""

import typing

import click
import yaml

from bulrushdale import client as client_module


class CommandError(click.ClickException):
    """A command that failed; the message says what to do."""

    exit_code = 2

    def show(self, file: typing.IO[typing.Any] | None = None) -> None:
        click.echo(f"bulrushdale: {self.format_message()}", err=True)


ROUTER = click.option(
    "--router",
    "url",
    envvar="BULRUSHDALE_ROUTER",
    required=True,
    metavar="URL",
    help="Operator address of any router [env: BULRUSHDALE_ROUTER].",
)
KEY = click.option(
    "--key",
    "operator_key",
    envvar="BULRUSHDALE_OPERATOR_KEY",
    required=True,
    metavar="KEY",
    help="The operator's key [env: BULRUSHDALE_OPERATOR_KEY].",
)


def call(
    url: str,
    operator_key: str,
    method: str,
    path: str,
    **options: typing.Any,
) -> typing.Any:
    """Send a request to a router and return the decoded response.

    :param url: the operator address of the router.
    :param operator_key: the operator's key.
    :param method: the HTTP method.
    :param path: the path, starting with a slash.
    :param options: further arguments of :func:`bulrushdale.client.call`.
    :raises CommandError: if the router refuses it or can't be reached.
    """
    try:
        return client_module.call(url, operator_key, method, path, **options)
    except client_module.CallError as error:
        raise CommandError(str(error)) from None


def show(data: typing.Any) -> None:
    """Print data as YAML."""
    click.echo(yaml.safe_dump(data, sort_keys=False).rstrip())
