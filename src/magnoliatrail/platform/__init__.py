"""Interfaces and clients of the platform's services."""
