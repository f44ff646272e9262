"""Adapter to the platform: converts its settings, headers, documents and store records."""
