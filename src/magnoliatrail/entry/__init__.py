"""The HTTP listener that callers use."""
