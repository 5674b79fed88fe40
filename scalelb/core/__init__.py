"""Request lifecycle, independent of protocols: open requests, attempts, timers, manual overrides, metrics."""
