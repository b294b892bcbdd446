"""Messages between instances, as JSON over HTTP."""
