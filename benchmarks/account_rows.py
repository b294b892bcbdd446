"""Measure the decoding of many client accounts, and what they take in memory."""

import gc
import json
import random
import statistics
import time
import tracemalloc
from pathlib import Path

from magnoliatrail.accounts.accounts import digest_of
from magnoliatrail.platform import configuration_rows
from magnoliatrail.platform.account_rows import AccountDecoder

RESULTS = Path(__file__).with_suffix(".json")
ACCOUNTS = 10_000
KEYS_PER_ACCOUNT = 4
KEY_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
KEY_LENGTH = 20
RUNS = 7
LOOK_UPS = 100_000


def accounts_of(generator: random.Random) -> list[dict[str, object]]:
    """Return accounts as the operators write them."""
    return [
        {
            "name": f"account-{number:05}",
            "keys": [
                "".join(generator.choices(KEY_LETTERS, k=KEY_LENGTH))
                for _ in range(KEYS_PER_ACCOUNT)
            ],
            "priority": number % 3,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 126_727,
            "burst": 126_727,
        }
        for number in range(ACCOUNTS)
    ]


def row_of(accounts: list[dict[str, object]], version: int) -> bytes:
    """Return the row of a configuration that has only accounts."""
    row = {"version": version, "routes": [], "services": [], "tenants": accounts}
    return json.dumps(row, separators=(",", ":")).encode()


def decode_milliseconds(row: bytes) -> float:
    """Return the processor time of decoding a row."""
    began = time.process_time()
    assert configuration_rows.decode_configuration(row).is_ok()
    return (time.process_time() - began) * 1000


def measure() -> dict[str, float]:
    """Measure all figures."""
    generator = random.Random(7)
    accounts = accounts_of(generator)
    row = row_of(accounts, 1)
    scratch, one_changed, routes_changed, repaired = [], [], [], []
    for run in range(RUNS):
        configuration_rows.ACCOUNTS = AccountDecoder()
        scratch.append(decode_milliseconds(row))
        accounts[run]["burst"] = run
        changed = row_of(accounts, run + 2)
        one_changed.append(decode_milliseconds(changed))
        routes_changed.append(decode_milliseconds(row_of(accounts, run + 100)))
        accounts[run]["burst"] = float("nan")
        repaired.append(decode_milliseconds(row_of(accounts, run + 200)))
        accounts[run]["burst"] = run
    table = configuration_rows.decode_configuration(row).ok.accounts
    keys = [key for item in accounts for key in item["keys"]]  # type: ignore[attr-defined]
    asked = generator.choices(keys, k=LOOK_UPS)
    began = time.process_time()
    for key in asked:
        table.find(key)
    look_up = (time.process_time() - began) / LOOK_UPS * 1e6
    assert digest_of(keys[0]) in table.by_key
    configuration_rows.ACCOUNTS = AccountDecoder()
    gc.collect()
    tracemalloc.start()
    kept = configuration_rows.decode_configuration(row)
    gc.collect()
    one, _ = tracemalloc.get_traced_memory()
    accounts[0]["burst"] = 1
    kept = configuration_rows.decode_configuration(row_of(accounts, 9))
    gc.collect()
    two, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept.is_ok()
    return {
        "accounts": ACCOUNTS,
        "keys": ACCOUNTS * KEYS_PER_ACCOUNT,
        "row_bytes": len(row),
        "decode_from_scratch_ms": round(statistics.median(scratch), 1),
        "decode_one_account_changed_ms": round(statistics.median(one_changed), 1),
        "decode_only_routes_changed_ms": round(statistics.median(routes_changed), 1),
        "decode_with_a_number_that_json_lacks_ms": round(
            statistics.median(repaired), 1
        ),
        "look_up_us": round(look_up, 2),
        "memory_mb": round(one / 1e6, 1),
        "memory_after_a_change_mb": round(two / 1e6, 1),
    }


if __name__ == "__main__":
    figures = measure()
    RESULTS.write_text(json.dumps(figures, indent=2) + "\n")
    print(json.dumps(figures, indent=2))
