"""The server side of callers' HTTP: connections, requests read from them, threads."""
