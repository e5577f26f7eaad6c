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
      0  done
      1  an entry refused; its reason is on the error stream
      2  wrong arguments, or a file with faults
      3  no entry answered
      4  another version came first
      5  a version was not in force everywhere in time
    The codes of serve: 0 after a planned stop, 2 for faulty settings,
    3 after a broken invariant.

    \b
    Example:
      foxtailhatch check examples/thrissur/settings.json
    """
