"""Adapter placement and eviction decisions, as plain functions on typed values."""
