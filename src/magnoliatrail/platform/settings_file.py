"""The settings file that the platform writes for each process."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from magnoliatrail.ids import FailureDomain, InstanceId

# The deploy file gives this port to the readers of the metrics.
METRICS_PORT = 9464


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on times and retries that the platform checks."""

    # From the store's answer until a configuration is in force.
    propagation: timedelta
    # From the announcement that a server leaves until it gets no new request.
    drain: timedelta
    # From SIGTERM until the process is ended.
    grace: timedelta
    # Minimum time between orders of two owners to one engine.
    owner_gap: timedelta
    # From an adapter version's announcement until older ones start no request.
    version: timedelta
    # Retries allowed in a window: ratio x requests + slack, over all instances.
    retry_ratio: float
    retry_slack: float
    retry_window: timedelta
    # Added to the bound on configurations while the store is disturbed.
    unstable_store: timedelta = timedelta()
    # An account's quota is judged over this window. The tolerance is this share of it,
    # and so much in the unit of the quota.
    quota_window: timedelta = timedelta(seconds=8)
    quota_overage: float = 0.1
    quota_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The settings of one process on the platform."""

    instance: InstanceId
    failure_domain: FailureDomain
    ip: str
    callers_address: str
    ready_address: str
    # First and last port for messages between instances.
    peer_ports: tuple[int, int]
    store_address: str
    heartbeat: timedelta
    file_descriptors: int
    # CPU share of the instance in cores, and the bandwidth of its network link.
    cores: float
    link_mbps: float
    first_start: bool
    bounds: Bounds
    # Memory of the process; beyond it the platform kills the process.
    memory_mb: float = 256.0
    # Port of the metrics, the same on every instance; 0 lets the kernel choose.
    metrics_port: int = METRICS_PORT


def read_settings(path: Path) -> InstanceSettings:
    """Read a settings file.

    Raises ValueError with the field and the remedy.
    """
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ValueError(f"settings file {path} cannot be read: {error}") from error
    try:
        return settings_of(fields)
    except (
        LookupError,
        TypeError,
        ValueError,
        ArithmeticError,
        AttributeError,
    ) as error:
        raise ValueError(
            f"settings file {path} lacks a field or has a wrong one: {error!r}; "
            "let the platform write it again"
        ) from error


def settings_of(fields: dict[str, Any]) -> InstanceSettings:
    """Convert the fields of a settings file."""
    listen = fields["listen"]
    ports = fields["internal_ports"]
    limits = fields.get("limits", {})
    return InstanceSettings(
        instance=InstanceId(str(fields["node"])),
        failure_domain=FailureDomain(str(fields["zone"])),
        ip=str(fields["ip"]),
        callers_address=str(listen["front"]),
        ready_address=str(listen["ready"]),
        peer_ports=(int(ports[0]), int(ports[-1])),
        store_address=str(fields["platform"]["address"]),
        heartbeat=milliseconds(fields.get("heartbeat_ms", 1200)),
        file_descriptors=int(limits.get("file_descriptors", 4096)),
        cores=float(limits.get("cpu_share", 1)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("link_mbps", 1000)),
        memory_mb=float(limits.get("memory_mb", 256)),
        first_start=bool(fields.get("bootstrap", False)),
        bounds=bounds_of(fields["bounds"]),
    )


def bounds_of(fields: dict[str, Any]) -> Bounds:
    """Convert the bounds of a settings file."""
    return Bounds(
        propagation=milliseconds(fields["propagation_ms"]),
        drain=milliseconds(fields["drain_ms"]),
        grace=timedelta(seconds=float(fields["grace_s"])),
        owner_gap=milliseconds(fields["lease_ms"]),
        version=milliseconds(fields["version_ms"]),
        retry_ratio=float(fields["budget_ratio"]),
        retry_slack=float(fields["budget_slack"]),
        retry_window=timedelta(seconds=float(fields["budget_window_s"])),
        unstable_store=milliseconds(fields.get("outer_bound_ms", 0)),
        quota_window=timedelta(seconds=float(fields.get("quota_window_s", 8))),
        quota_overage=float(fields.get("quota_overage", 0.1)),
        quota_slack=float(fields.get("quota_slack", 0)),
    )


def milliseconds(value: float) -> timedelta:
    """Convert milliseconds to a duration."""
    return timedelta(milliseconds=float(value))
