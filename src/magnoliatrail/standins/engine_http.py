"""The HTTP interface of the engine stand-in."""

import msgspec
from tornado.web import Application

from magnoliatrail.generated.engine import AdapterOrder
from magnoliatrail.standins.engine import FakeEngine, Refused
from magnoliatrail.standins.engine_handler import EngineHandler
from magnoliatrail.standins.engine_streams import CompletionsHandler, RequestHandler
from magnoliatrail.standins.faults import FaultSettingsHandler


class LoadAdapterHandler(EngineHandler):
    """Serve `POST /v1/load_lora_adapter`."""

    async def post(self) -> None:
        """Load an adapter."""
        order = msgspec.json.decode(self.request.body, type=AdapterOrder)
        try:
            await self.engine.load(
                order.lora_name, order.lora_path, self.fencing_number()
            )
        except Refused as refused:
            self.refuse(refused)


class UnloadAdapterHandler(EngineHandler):
    """Serve `POST /v1/unload_lora_adapter`."""

    def post(self) -> None:
        """Unload an adapter."""
        order = msgspec.json.decode(self.request.body, type=AdapterOrder)
        try:
            self.engine.unload(order.lora_name, self.fencing_number())
        except Refused as refused:
            self.refuse(refused)


class LoadReportHandler(EngineHandler):
    """Serve `GET /load`."""

    def get(self) -> None:
        """Send the load report."""
        self.write_json(self.engine.report())


class CacheEventsHandler(EngineHandler):
    """Serve `GET /cache_events?after=`."""

    def get(self) -> None:
        """Send the cache events after a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        self.write_json(self.engine.events_after(after))


class RestartHandler(EngineHandler):
    """Serve `POST /restart`."""

    def post(self) -> None:
        """Restart the engine with empty state."""
        self.engine.restart()


class CountsHandler(EngineHandler):
    """Serve `GET /counts`, counters for tests."""

    def get(self) -> None:
        """Send the counters."""
        self.write(
            {
                "loads": self.engine.loads,
                "evictions": self.engine.evictions,
                "violations": self.engine.violations,
            }
        )


def engine_application(engine: FakeEngine) -> Application:
    """Return the HTTP application of an engine."""
    serve = {"engine": engine}
    return Application(
        [
            ("/v1/load_lora_adapter", LoadAdapterHandler, serve),
            ("/v1/unload_lora_adapter", UnloadAdapterHandler, serve),
            ("/v1/(?:chat/)?completions", CompletionsHandler, serve),
            (r"/v1/requests/([^/]+)", RequestHandler, serve),
            ("/load", LoadReportHandler, serve),
            ("/cache_events", CacheEventsHandler, serve),
            ("/restart", RestartHandler, serve),
            ("/counts", CountsHandler, serve),
            ("/faults", FaultSettingsHandler, {"faults": engine.faults}),
        ]
    )
