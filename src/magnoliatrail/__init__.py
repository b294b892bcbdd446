"""Serve very many LoRA adapters on a shared fleet of engines."""

__version__ = "0.1.0"
