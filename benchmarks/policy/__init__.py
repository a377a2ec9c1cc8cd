"""Measures the policy of the product against baselines on a paused clock."""
