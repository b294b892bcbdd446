"""Client accounts: who calls, and what each may use over all instances."""
