"""Decisions about which adapter is loaded where: plain functions on typed values."""
