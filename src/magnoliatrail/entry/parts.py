"""Dependencies of the caller listener."""

from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from magnoliatrail.clock import Clock
from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.entry.dispatch import Dispatcher
from magnoliatrail.entry.lifecycle import Lifecycle
from magnoliatrail.entry.service_call import ServiceCaller
from magnoliatrail.generated.settings import Settings
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.metrics import Metrics
from magnoliatrail.operations.ledger import OperationLedger
from magnoliatrail.operations.settling import Settler
from magnoliatrail.placement.catalogue import AdapterCatalogue


@dataclass(frozen=True)
class EntryParts:
    """Hold the components that the request handlers use."""

    settings: Settings
    clock: Clock
    metrics: Metrics
    client: AsyncHTTPClient
    fleet: Fleet
    configuration: ConfigurationInForce
    catalogue: AdapterCatalogue
    dispatcher: Dispatcher
    ledger: OperationLedger
    settler: Settler
    services: ServiceCaller
    lifecycle: Lifecycle
