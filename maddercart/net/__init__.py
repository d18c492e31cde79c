"""The event loop: epoll, generator-based coroutines, timers and non-blocking sockets."""
