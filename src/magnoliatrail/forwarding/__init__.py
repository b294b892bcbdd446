"""The entry that forwards callers' requests to backend servers."""
