"""Load generator, baselines and measurements on real processes."""
