"""Compare JSON and MessagePack for messages and rows, by size and processor time."""

import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from benchmarks.slopes.measure import processor_microseconds
from benchmarks.slopes.messages import operation_row, permit_grant, permit_request
from benchmarks.slopes.state import catalogue_body, list_body
from magnoliatrail.generated.platform import Catalogue, InstanceList

RESULTS = Path(__file__).resolve().parent / "codecs.json"


class CodecCost(msgspec.Struct, frozen=True, kw_only=True):
    """Size and processor time of one message in one codec."""

    message: str
    codec: str
    size_bytes: int
    encode_microseconds: float
    decode_microseconds: float


def codec_cost(
    name: str,
    codec: str,
    message: object,
    encode: Callable[[object], bytes],
    decode: Callable[[bytes], object],
) -> CodecCost:
    """Measure one message in one codec."""
    body = encode(message)
    return CodecCost(
        message=name,
        codec=codec,
        size_bytes=len(body),
        encode_microseconds=processor_microseconds(lambda: encode(message)),
        decode_microseconds=processor_microseconds(lambda: decode(body)),
    )


def costs_in_both_codecs(name: str, message: object) -> list[CodecCost]:
    """Measure one message in both codecs."""
    kind = type(message)
    json_decoder = msgspec.json.Decoder(kind)
    packed_decoder = msgspec.msgpack.Decoder(kind)
    return [
        codec_cost(name, "JSON", message, msgspec.json.encode, json_decoder.decode),
        codec_cost(
            name,
            "MessagePack",
            message,
            msgspec.msgpack.encode,
            packed_decoder.decode,
        ),
    ]


def main() -> int:
    """Measure every message, print a table and write it as JSON."""
    samples: list[tuple[str, object]] = [
        ("permit request", permit_request()),
        ("permit grant", permit_grant()),
        ("ledger row, 4 KiB answer", operation_row(4_096)),
        (
            "instance list, 6,200 servers",
            msgspec.json.decode(list_body(6_200), type=InstanceList),
        ),
        (
            "catalogue, 130,000 adapters",
            msgspec.json.decode(catalogue_body(130_000), type=Catalogue),
        ),
    ]
    costs = [
        line
        for name, message in samples
        for line in costs_in_both_codecs(name, message)
    ]
    RESULTS.write_bytes(
        msgspec.json.format(msgspec.json.encode(costs), indent=1) + b"\n"
    )
    print("| message | codec | B | encode, us | decode, us |")
    print("| --- | --- | --- | --- | --- |")
    for line in costs:
        print(
            f"| {line.message} | {line.codec} | {line.size_bytes:,} "
            f"| {line.encode_microseconds:,.3g} | {line.decode_microseconds:,.3g} |"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
