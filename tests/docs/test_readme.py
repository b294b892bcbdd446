"""The commands of the README's first request work as printed."""

import contextlib
import os
import random
import re
import shlex
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from urllib.error import URLError
from urllib.request import Request, urlopen

import pytest

from tests.docs.pages import FENCE, ROOT

pytestmark = pytest.mark.processes

PRINTED_PORTS = ("9100", "9101", "9102", "9103", "8080", "8081")
# Stand-ins use consecutive ports. Ports from 32768 on are avoided, because outgoing
# connections use them.
STANDIN_PORTS = 16
FIRST_PORTS = range(10_000, 32_000, STANDIN_PORTS + 2)
RESPONSE_TIMEOUT_SECONDS = 60.0


def is_free(port: int) -> bool:
    """Return whether a port is unused."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def free_ports() -> dict[str, str]:
    """Map each port in the README to a free port."""
    size = STANDIN_PORTS + 2
    first = next(
        first
        for first in random.SystemRandom().sample(FIRST_PORTS, len(FIRST_PORTS))
        if all(is_free(port) for port in range(first, first + size))
    )
    standins = [str(first + offset) for offset in range(4)]
    instance = [str(first + STANDIN_PORTS), str(first + STANDIN_PORTS + 1)]
    return dict(zip(PRINTED_PORTS, [*standins, *instance], strict=True))


def commands() -> list[list[str]]:
    """Return the words of each command in the README, with free ports substituted."""
    ports = free_ports()
    blocks = FENCE.findall((ROOT / "README.md").read_text())
    shells = [block for block in blocks if block.startswith("```sh")]
    text = "\n".join(block.removeprefix("```sh").strip("`") for block in shells)
    moved = re.sub(r"\d{4}", lambda port: ports.get(port[0], port[0]), text)
    lines = moved.replace("\\\n", " ").splitlines()
    return [words for line in lines if (words := shlex.split(line, comments=True))]


@contextlib.contextmanager
def running(words: list[str]) -> Iterator[None]:
    """Run a `magnoliatrail` command in a process."""
    process = subprocess.Popen(
        [sys.executable, "-m", "magnoliatrail", *words[1:]],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
    )
    try:
        yield
    finally:
        process.kill()
        process.wait()


def curl(words: list[str]) -> bytes:
    """Send the request of a curl command, and retry until it succeeds."""
    headers = dict(
        words[i + 1].split(": ") for i, word in enumerate(words) if word == "-H"
    )
    url = next(word for word in words if word.startswith("http"))
    body = words[words.index("-d") + 1].encode()
    until = time.monotonic() + RESPONSE_TIMEOUT_SECONDS
    while True:
        try:
            with urlopen(
                Request(url, body, headers), timeout=RESPONSE_TIMEOUT_SECONDS
            ) as answer:
                return bytes(answer.read())
        except (URLError, ConnectionError):
            if time.monotonic() > until:
                raise
            time.sleep(0.1)


def test_the_first_request_is_answered_completely():
    by_program = {tuple(words[:2]): words for words in commands()}
    standins = next(w for key, w in by_program.items() if key[1] == "standin")
    instance = next(w for key, w in by_program.items() if key[1] == "serve")
    request = next(w for key, w in by_program.items() if key[0] == "curl")
    with running(standins), running(instance):
        answer = curl(request)
    assert answer.rstrip().endswith(b"data: [DONE]")
    assert b'"model":"adapter-0007@1"' in answer
