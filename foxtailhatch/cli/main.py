"""The ``foxtailhatch`` command."""

import click

from foxtailhatch import __version__
from foxtailhatch.cli.ask import ask
from foxtailhatch.cli.check import check
from foxtailhatch.cli.mark import mark
from foxtailhatch.cli.publish import publish
from foxtailhatch.cli.route import route
from foxtailhatch.cli.serve import serve
from foxtailhatch.cli.show import show
from foxtailhatch.cli.status import status
from foxtailhatch.cli.timeline import timeline

SUBCOMMANDS = (
    ask,
    check,
    mark,
    publish,
    route,
    serve,
    show,
    status,
    timeline,
)


@click.group(commands=SUBCOMMANDS)
@click.version_option(__version__)
def main() -> None:
    """Route requests over pipelines of model layers.

    \b
    Exit codes:
      0  success
      1  an entry refused; its reason is on standard error
      2  invalid arguments, or a file with faults
      3  no entry answered
      4  another version was accepted first
      5  a version was not in force everywhere in time
    Exit codes of serve: 0 after a graceful shutdown, 2 for invalid settings,
    3 after an invariant violation.

    \b
    Example:
      foxtailhatch check examples/thrissur/settings.json
    """
