"""The listener for callers."""
