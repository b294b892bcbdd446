"""How the cost of each part grows with size: `make slopes`."""
