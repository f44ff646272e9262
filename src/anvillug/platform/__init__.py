"""Adapter to the platform: its settings, headers, documents and store in the product's types."""
