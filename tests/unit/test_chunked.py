from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPInputError

from magnoliatrail.entry.chunked import MAX_CHUNK_BYTES, ChunkedBody


def chunked(contents):
    chunks = [b"%x\r\n%s\r\n" % (len(content), content) for content in contents]
    return b"".join(chunks) + b"0\r\n\r\n"


@settings(derandomize=True)
@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=8),
    st.lists(st.integers(min_value=0, max_value=2500), max_size=8),
)
def test_a_body_decodes_the_same_for_any_split_into_reads(contents, cuts):
    data = chunked(contents)
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    body = ChunkedBody()
    parts = [body.decode(data[a:b]) for a, b in pairwise(edges)]
    assert b"".join(parts) == b"".join(contents)
    assert body.finished


def test_a_body_without_its_last_chunk_is_not_finished():
    body = ChunkedBody()
    body.decode(chunked([b"text"])[:-1])
    assert not body.finished


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"-1\r\n",
        b"+4\r\ntext\r\n",
        b"4_0\r\n",
        b" 4\r\ntext\r\n",
        b"4\r\ntextmore",
        b"4" * 64,
        b"%x\r\n" % (MAX_CHUNK_BYTES + 1),
    ],
)
def test_a_malformed_chunked_body_is_an_error(data):
    with pytest.raises(HTTPInputError):
        ChunkedBody().decode(data)
