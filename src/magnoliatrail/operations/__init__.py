"""Non-idempotent operations, which run at most once."""
