"""The order in which instances claim a free lease."""

import random
from collections.abc import Collection
from datetime import timedelta

from magnoliatrail.ids import InstanceId
from magnoliatrail.platform.settings_file import InstanceSettings
from magnoliatrail.rendezvous import ranked

# Candidates claim a free lease one after the other, this far apart.
CLAIM_STAGGER = timedelta(milliseconds=120)
MAX_CLAIM_STEPS = 6
# First claims of a lease are spread over this time, so that most candidates see
# another's claim before they send their own.
FIRST_CLAIM_SPREAD = timedelta(seconds=1.2)
# Instances with fewer cores or a slower link claim leases later, if they lack much of
# either after all turns of the others.
RECOMMENDED_OWNER_CORES = 1.0
RECOMMENDED_OWNER_LINK_MBPS = 50.0
CLAIM_DELAY_PER_RESOURCE = timedelta(milliseconds=1000)


def claim_turn(
    lease: str,
    own: InstanceId,
    candidates: Collection[str],
    generator: random.Random,
) -> timedelta:
    """Return the delay before a claim, ranked so that candidates claim in turn."""
    if own in candidates:
        position = ranked(lease, candidates).index(own)
        return CLAIM_STAGGER * min(position, MAX_CLAIM_STEPS)
    # The other candidates are not known yet.
    return FIRST_CLAIM_SPREAD * generator.random()


def resource_claim_delay(settings: InstanceSettings) -> timedelta:
    """Return how long an instance delays its claims because its resources are low."""
    cores = max(0.0, 1 - settings.cores / RECOMMENDED_OWNER_CORES)
    link = max(0.0, 1 - settings.link_mbps / RECOMMENDED_OWNER_LINK_MBPS)
    return CLAIM_DELAY_PER_RESOURCE * (cores + link)
