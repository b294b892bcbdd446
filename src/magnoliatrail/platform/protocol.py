"""Headers, paths and keys of the users' platform."""

# Headers of requests and answers.
REQUEST_ID = "Magnoliatrail-Request-Id"
DEADLINE_MS = "Magnoliatrail-Deadline-Milliseconds"
SIGNATURE = "Magnoliatrail-Response-Signature"
NOT_EXECUTED = "Magnoliatrail-Not-Executed"
EXPECT_INSTANCE = "Magnoliatrail-Expect-Instance"
EXPECT_VERSION = "Magnoliatrail-Expect-Version"
# MODEL, or MODEL/ADAPTER.
MODEL = "Magnoliatrail-Model"
# PROMPT,OUTPUT: the second is the most that may be generated.
TOKEN_COUNTS = "Magnoliatrail-Token-Counts"
PROMPT_PREFIX = "Magnoliatrail-Prompt-Prefix"
LENGTH_HINT = "Magnoliatrail-Length-Hint"
PRIORITY = "Magnoliatrail-Request-Priority"

# Headers that only the system sets towards a backend server.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        NOT_EXECUTED,
        "Magnoliatrail-Hold",
        "Magnoliatrail-Pin-Milliseconds",
        "Magnoliatrail-Kv-Cache-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# Headers that a `Connection` header cannot take out of a request.
PROTECTED_PREFIX = "magnoliatrail-"

READY_PATH = "/v1/ready"
ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"

# Tables and keys of the store that the operator and the backend servers write.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
SERVERS_TABLE = "servers"
# The system's own table of owners and instances.
CELLS_TABLE = "cells"

SETTINGS_VARIABLE = "MAGNOLIATRAIL_CONFIG"
