"""Routing and admission decisions, as plain functions on typed values."""
