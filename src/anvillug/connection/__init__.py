"""State of single connections: HTTP, platform log and control protocol."""
