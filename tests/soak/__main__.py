"""Soak runs by hand: python -m tests.soak --seeds 50."""

import asyncio
import sys
from pathlib import Path

import click

from tests.soak.run import SoakSettings, run_soak


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Number of runs.")
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--jobs", default=2, show_default=True, help="Runs beside each other.")
@click.option("--instances", default=3, show_default=True, help="Instances of a run.")
@click.option("--engines", default=3, show_default=True, help="Engines of a run.")
@click.option("--callers", default=12, show_default=True, help="Callers of a run.")
@click.option("--seconds", default=12.0, show_default=True, help="Time with faults.")
@click.option("--mean-gap", default=0.8, show_default=True, help="Seconds to a fault.")
@click.option("--take-up", is_flag=True, help="Take streams up after a last restart.")
@click.option(
    "--directory",
    type=click.Path(path_type=Path),
    default=Path("soak-runs"),
    show_default=True,
    help="Directory for logs and settings files.",
)
def soak(
    seeds: int,
    first: int,
    jobs: int,
    instances: int,
    engines: int,
    callers: int,
    seconds: float,
    mean_gap: float,
    take_up: bool,
    directory: Path,
) -> None:
    """Play seeds, and report the promises that were broken."""
    failed: list[int] = []

    async def play(seed: int, slots: asyncio.Semaphore) -> None:
        async with slots:
            report = await run_soak(
                SoakSettings(
                    seed=seed,
                    directory=directory / f"seed-{seed}",
                    instances=instances,
                    engines=engines,
                    callers=callers,
                    fault_seconds=seconds,
                    mean_gap=mean_gap,
                    take_up=take_up,
                )
            )
        click.echo(
            f"seed {seed}: {report.requests} requests, {report.served} served, "
            f"{report.went_on} of {report.resumed} resumed streams went on, "
            f"{len(report.faults)} faults, {len(report.violations)} violations"
        )
        if report.taken_up:
            counts = f"{report.taken_up.went_on} of {report.taken_up.streams}"
            click.echo(f"    {counts} streams went on after the last restart")
        if report.violations:
            failed.append(seed)
            for line in [*report.faults, *report.violations]:
                click.echo(f"    {line}")

    async def play_all() -> None:
        slots = asyncio.Semaphore(jobs)
        await asyncio.gather(
            *(play(seed, slots) for seed in range(first, first + seeds))
        )

    asyncio.run(play_all())
    if failed:
        click.echo(f"failed: {sorted(failed)}")
        sys.exit(1)


soak()
