"""Plot the stalls of each kind of trace: `python -m benchmarks.plots`."""

from pathlib import Path
from typing import Any

import matplotlib as mpl
import msgspec

from benchmarks.run import RESULTS

mpl.use("Agg")
from matplotlib import pyplot as plt

PLOTS = Path(__file__).parent / "plots"
STALL_QUANTILE = "p95"


def plot_kind(kind: str, results: list[dict[str, Any]]) -> Path:
    """Plot the p95 stall of every strategy for one kind of trace."""
    chosen = [item for item in results if item["cell"]["kind"] == kind]
    strategies = list(chosen[0]["measures"])
    figure, axes = plt.subplots(figsize=(12, 5))
    width = 0.8 / len(strategies)
    for index, name in enumerate(strategies):
        heights = [
            item["measures"][name]["stalls"]["interactive"][STALL_QUANTILE]
            for item in chosen
        ]
        positions = [position + index * width for position in range(len(chosen))]
        axes.bar(positions, heights, width, label=name)
    labels = [
        "{site}\n{slots} slots\nzipf {zipf}\nload {load}".format(**item["cell"])
        for item in chosen
    ]
    axes.set_xticks(range(len(chosen)), labels, fontsize=5)
    axes.set_ylabel("stall of interactive requests, p95, seconds")
    axes.set_yscale("symlog", linthresh=1)
    axes.set_title(kind)
    axes.legend()
    path = PLOTS / f"{kind}.png"
    figure.savefig(path, dpi=120, bbox_inches="tight")
    plt.close(figure)
    return path


def main() -> None:
    """Plot every kind of trace in the results."""
    results = msgspec.json.decode(RESULTS.read_bytes())["results"]
    PLOTS.mkdir(exist_ok=True)
    for kind in dict.fromkeys(item["cell"]["kind"] for item in results):
        print(plot_kind(kind, results))


if __name__ == "__main__":
    main()
