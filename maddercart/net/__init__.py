"""The driver: one epoll set, coroutines that wait on it, timers and non-blocking sockets."""
