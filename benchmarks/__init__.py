"""Benchmarks: policy simulations, cost measurements and capacity arithmetic."""
