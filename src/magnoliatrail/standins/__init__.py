"""In-memory stand-ins for external services, for local runs, the demo and tests."""
