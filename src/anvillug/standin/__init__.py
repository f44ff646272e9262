"""Small stand-ins for the systems around anvillug, with injectable faults."""
