"""Connections of clients: their limits, and the memory that their requests may hold."""
