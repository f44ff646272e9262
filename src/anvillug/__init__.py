"""anvillug: a load balancer for backend servers whose load changes within milliseconds."""
