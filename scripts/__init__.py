"""Generators of code and of tables in the documentation."""
