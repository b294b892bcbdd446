"""Cells of engines: one owner gives the orders and the places of each."""
