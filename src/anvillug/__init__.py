"""anvillug: a load balancer for servers whose load shifts within milliseconds."""
