"""Load generator, baselines, scenarios and measurements on real processes."""
