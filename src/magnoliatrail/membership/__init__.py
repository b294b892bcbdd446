"""Membership of instances, and ownership of engines."""
