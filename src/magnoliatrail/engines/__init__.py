"""Engine ownership, adapter loads, and permits at owners and holders."""
