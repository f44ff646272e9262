"""Stand-ins with injectable faults for the systems that anvillug interacts with."""
