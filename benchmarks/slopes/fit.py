"""Least-squares lines through measured costs."""

import statistics
from collections.abc import Callable, Sequence

import msgspec


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted to one cost as a function of one size."""

    name: str
    size_unit: str
    cost_unit: str
    sizes: list[float]
    costs: list[float]
    slope: float
    intercept: float
    r_squared: float
    worst_residual: float


def fit_slope(
    name: str,
    size_unit: str,
    cost_unit: str,
    sizes: Sequence[float],
    cost_of: Callable[[int], float],
) -> Slope:
    """Measure a cost at each size, of which three are required, and fit a line."""
    if len(sizes) < 3:  # noqa: PLR2004
        raise ValueError(f"{name} needs at least three sizes")
    costs = [cost_of(int(size)) for size in sizes]
    line = statistics.linear_regression(sizes, costs)
    residuals = [
        cost - (line.intercept + line.slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    constant = len(set(costs)) == 1
    correlation = 1.0 if constant else statistics.correlation(sizes, costs)
    return Slope(
        name=name,
        size_unit=size_unit,
        cost_unit=cost_unit,
        sizes=[float(size) for size in sizes],
        costs=costs,
        slope=line.slope,
        intercept=line.intercept,
        r_squared=correlation**2,
        worst_residual=max(abs(residual) for residual in residuals),
    )
