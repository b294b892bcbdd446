"""Calls to a model engine."""

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.engine import AdapterOrder, EngineRefusal, LoadReport
from magnoliatrail.ids import AdapterVersion, FencingNumber, Handle
from magnoliatrail.wire import JSON_TYPE, CallFailed, CallLimits, call, decode, encode

HTTP_OK = 200

REFUSAL_KINDS = {
    "adapter_not_loaded": ErrorKind.ADAPTER_NOT_LOADED,
    "stale_fencing_number": ErrorKind.STALE_FENCING_NUMBER,
}

# Awaited before each order, so that a paused owner sends none with stale state.
Gate = Callable[[], Awaitable[None]]


async def no_gate() -> None:
    """Return at once; the default gate blocks nothing."""


class EngineClient:
    """Send orders to one engine and read its load reports."""

    def __init__(
        self,
        client: AsyncHTTPClient,
        url: str,
        limits: CallLimits,
        gate: Gate = no_gate,
    ) -> None:
        self.client = client
        self.url = url
        self.limits = limits
        self.gate = gate

    async def load(
        self, handle: Handle, model: AdapterVersion, fencing_number: FencingNumber
    ) -> Result[None, Failure]:
        """Load an adapter under a handle."""
        order = AdapterOrder(lora_name=handle, lora_path=str(model))
        return await self.order("/v1/load_lora_adapter", order, fencing_number)

    async def unload(
        self, handle: Handle, fencing_number: FencingNumber
    ) -> Result[None, Failure]:
        """Unload the adapter of a handle."""
        order = AdapterOrder(lora_name=handle)
        return await self.order("/v1/unload_lora_adapter", order, fencing_number)

    async def order(
        self, path: str, order: AdapterOrder, fencing_number: FencingNumber
    ) -> Result[None, Failure]:
        """Send an order with the fencing number of the engine's owner."""
        await self.gate()
        headers = {
            "Content-Type": JSON_TYPE,
            "X-Fencing-Number": str(fencing_number),
        }
        request = HTTPRequest(
            self.url + path, method="POST", headers=headers, body=encode(order)
        )
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.LOAD_FAILED, str(error)))
        if response.code != HTTP_OK:
            return Error(
                refusal_of(response.body, response.code, ErrorKind.LOAD_FAILED)
            )
        return Ok(None)

    async def report(self) -> Result[LoadReport, Failure]:
        """Read the load report."""
        request = HTTPRequest(f"{self.url}/load")
        try:
            response = await call(self.client, request, self.limits)
        except CallFailed as error:
            return Error(Failure(ErrorKind.BACKEND_UNREACHABLE, str(error)))
        if response.code != HTTP_OK:
            return Error(
                refusal_of(response.body, response.code, ErrorKind.BACKEND_UNREACHABLE)
            )
        return decode(response.body, LoadReport)


def refusal_of(body: bytes, status: int, otherwise: ErrorKind) -> Failure:
    """Return the failure for an unsuccessful response."""
    match decode(body, EngineRefusal):
        case Result(tag="ok", ok=refusal):
            kind = REFUSAL_KINDS.get(refusal.code, otherwise)
            return Failure(kind, refusal.message)
        case _:
            return Failure(otherwise, f"the engine answered {status}")
