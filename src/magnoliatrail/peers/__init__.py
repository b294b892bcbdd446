"""Talk between instances: HTTP with JSON."""
