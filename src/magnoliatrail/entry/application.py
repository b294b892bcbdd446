"""The HTTP application of the caller listener."""

from tornado.web import Application

from magnoliatrail.entry.completions import CompletionHandler, ModelsHandler
from magnoliatrail.entry.handlers import CallerHandler, UnknownPathHandler
from magnoliatrail.entry.parts import EntryParts
from magnoliatrail.entry.services import ServiceHandler


class HealthHandler(CallerHandler):
    """Serve `GET /healthz`."""

    def get(self) -> None:
        """Report that the process is alive."""
        self.finish(b"ok\n")


class ReadyHandler(CallerHandler):
    """Serve `GET /readyz`."""

    def get(self) -> None:
        """Report whether the instance accepts new requests."""
        lifecycle = self.parts.lifecycle
        refusal = lifecycle.refusal()
        if lifecycle.ready and refusal is None:
            self.finish(b"ready\n")
            return
        self.set_status(503)
        self.finish(b"not ready\n")


def caller_application(parts: EntryParts) -> Application:
    """Build the HTTP application of the caller listener."""
    arguments = {"parts": parts}
    return Application(
        [
            ("/v1/(?:chat/)?completions", CompletionHandler, arguments),
            ("/v1/models", ModelsHandler, arguments),
            (r"/services/[A-Za-z0-9._-]+/.*", ServiceHandler, arguments),
            ("/healthz", HealthHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
