"""Which instances live, and who owns which engine."""
