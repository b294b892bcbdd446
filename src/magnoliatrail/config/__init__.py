"""The fleet's configuration: defaults, exceptions and revisions."""
