"""Benchmarks of the routing and placement decisions on a virtual clock."""
