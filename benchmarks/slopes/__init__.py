"""Growth of the cost of each component with its size: `make slopes`."""
