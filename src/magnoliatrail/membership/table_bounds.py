"""Bounds on the age of the tables by which requests are routed and sent."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.settings_file import Bounds

# Tables above this share of the freshness bounds are read before a request is routed;
# the rest covers the read.
UPDATE_AGE_SHARE = 0.85
# No request is sent by a list above this share of its bound; the rest covers its way.
LIST_AGE_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class TableBounds:
    """Bounds on the age of the tables by which a request is routed."""

    # Tables above this age are read before a request is routed.
    read_above: timedelta
    # Requests are refused above these ages, by table.
    max_ages: Mapping[str, timedelta]
    # Added to these ages while the store gives reads that lag behind.
    extension: timedelta


def table_bounds(bounds: Bounds) -> TableBounds:
    """Return the bounds on the age of the tables that follow from the settings."""
    return TableBounds(
        read_above=min(bounds.propagation, bounds.drain) * UPDATE_AGE_SHARE,
        max_ages={
            OPERATOR_TABLE: bounds.propagation,
            SERVERS_TABLE: bounds.drain * LIST_AGE_SHARE,
        },
        extension=bounds.unstable_store,
    )
