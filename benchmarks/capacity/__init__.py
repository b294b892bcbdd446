"""Computed figures of the capacity page: `make tables`."""
