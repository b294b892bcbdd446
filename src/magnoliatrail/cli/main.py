"""The command `magnoliatrail`."""

import click

from magnoliatrail import __version__
from magnoliatrail.cli.config import config
from magnoliatrail.cli.demo import demo
from magnoliatrail.cli.explain import explain
from magnoliatrail.cli.forward import forward
from magnoliatrail.cli.operations import operations
from magnoliatrail.cli.serve import serve
from magnoliatrail.cli.standin import standin
from magnoliatrail.cli.status import status


@click.group(
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog="Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a service cannot be "
    "reached, 4 a conflict with a concurrent change.",
)
def main() -> None:
    """Serve very many LoRA adapters on a shared fleet of engines.

    Start with `magnoliatrail demo`, which needs no other services. `serve` runs one
    instance; each of its settings is a flag and an environment variable.
    """


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


main.add_command(serve)
main.add_command(forward)
main.add_command(explain)
main.add_command(demo)
main.add_command(standin)
main.add_command(status)
main.add_command(config)
main.add_command(operations)
