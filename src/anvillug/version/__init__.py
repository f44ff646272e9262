"""Modules about versions: of the configuration and of backend servers."""
