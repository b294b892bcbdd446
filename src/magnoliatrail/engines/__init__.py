"""Engines: their owner's task, and permits on both sides."""
