"""Entry point of `python -m magnoliatrail`."""

from magnoliatrail.cli.main import main

main()
