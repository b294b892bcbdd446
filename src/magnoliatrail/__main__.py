"""Run the command line by `python -m magnoliatrail`."""

from magnoliatrail.cli.main import main

main()
