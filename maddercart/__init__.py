"""maddercart: a load balancer of which every client process has its own copy."""
