"""Backend servers for tests that need no network."""

from magnoliatrail.backends import BackendServer, ServerState


def server(name, address="10.0.0.1:1"):
    """Return a server of a plain service."""
    return BackendServer(
        id=name,
        born=1,
        service="desk",
        address=address,
        failure_domain="z",
        batch_slots=6,
        state=ServerState.READY,
        models=(),
        orders_accepted=0,
    )


async def hold(size):
    """Hold a part of an answer, for which there is always room."""
    del size
