"""Values of rows as differences from earlier values."""

import zlib

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.cells import ValueDifference, ValuePiece

# Large rows are JSON documents, whose changes add, remove or replace objects.
BLOCK_START = b"{"
# Maps each byte to one character, so that any value passes through JSON unchanged.
BYTE_ENCODING = "latin-1"


def blocks_of(value: bytes) -> list[bytes]:
    """Split a value before each start of an object."""
    first, *rest = value.split(BLOCK_START)
    return [first, *(BLOCK_START + block for block in rest)]


def difference_of(base: int, earlier: bytes, value: bytes) -> ValueDifference:
    """Return a value as its difference from an earlier one, whose version is `base`."""
    blocks = blocks_of(earlier)
    offsets = [0]
    for block in blocks:
        offsets.append(offsets[-1] + len(block))
    first_index = {block: number for number, block in reversed([*enumerate(blocks)])}
    pieces: list[ValuePiece] = []
    # The blocks that the current piece copies, and the bytes that follow them.
    start, end, text = 0, 0, b""
    for block in blocks_of(value):
        if not text and end < len(blocks) and blocks[end] == block:
            end += 1
        elif block in first_index:
            pieces.append(piece_of(offsets[start], offsets[end], text))
            start, text = first_index[block], b""
            end = start + 1
        else:
            text += block
    pieces.append(piece_of(offsets[start], offsets[end], text))
    return ValueDifference(base=base, checksum=zlib.crc32(value), pieces=pieces)


def piece_of(start: int, end: int, text: bytes) -> ValuePiece:
    """Build a piece that copies the bytes between two offsets."""
    return ValuePiece(start=start, length=end - start, text=text.decode(BYTE_ENCODING))


def apply_difference(
    difference: ValueDifference, earlier: bytes
) -> Result[bytes, Failure]:
    """Return the value of a difference from an earlier value.

    Errors: MALFORMED_REQUEST if the earlier value is not the one it was made from.
    """
    parts = []
    for piece in difference.pieces:
        end = piece.start + piece.length
        if not 0 <= piece.start <= end <= len(earlier):
            return Error(mismatch("a piece is out of range"))
        try:
            text = piece.text.encode(BYTE_ENCODING)
        except UnicodeEncodeError as error:
            return Error(mismatch(str(error)))
        parts.append(earlier[piece.start : end] + text)
    value = b"".join(parts)
    if zlib.crc32(value) != difference.checksum:
        return Error(mismatch("the checksum differs"))
    return Ok(value)


def mismatch(reason: str) -> Failure:
    """Build the failure for a difference that cannot be applied."""
    message = f"a row update does not fit the row held here: {reason}"
    return Failure(ErrorKind.MALFORMED_REQUEST, message)
