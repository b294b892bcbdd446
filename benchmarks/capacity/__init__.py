"""The capacity page's arithmetic: `make tables`."""
