"""Forwarding of callers' requests to backend servers."""
