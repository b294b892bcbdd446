"""Decisions about where a request goes: plain functions on typed values."""
