"""The HTTP side towards targets: connections, forwarding, announcements."""
