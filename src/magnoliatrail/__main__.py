"""Entry point of `python -m magnoliatrail`."""

import signal
import sys

if sys.argv[1:2] == ["forward"]:
    # The platform sends SIGHUP when it has changed the settings, also to a process that
    # still loads its modules and has not read them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from magnoliatrail.cli.main import main

main()
