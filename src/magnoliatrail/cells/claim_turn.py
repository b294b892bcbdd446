"""The order in which instances claim a free lease."""

import random
from collections.abc import Collection
from datetime import timedelta

from magnoliatrail.ids import InstanceId
from magnoliatrail.rendezvous import ranked

# Candidates claim a free lease one after the other, this far apart.
CLAIM_STAGGER = timedelta(milliseconds=120)
MAX_CLAIM_STEPS = 6
# First claims of a lease are spread over this time, so that most candidates see
# another's claim before they send their own.
FIRST_CLAIM_SPREAD = timedelta(seconds=1.2)


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
