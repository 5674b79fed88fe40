"""Request lifecycle without wire or sockets: open requests, attempts, timers, operator overrides, metrics."""
