"""Benchmark of the product's policy against baselines, on a simulated clock."""
