"""Run the real programs under random faults and check what the platform promises."""
