"""Cells of engines; the owner of each schedules its requests and adapter loads."""
