"""Small stand-ins for the outside world, for a first try, the demo and tests."""
