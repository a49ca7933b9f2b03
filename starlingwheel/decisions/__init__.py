"""Load-balancing decisions without I/O: `Balancer` and its components, and the scheduler that runs them."""
