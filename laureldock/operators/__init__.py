"""Where operators call: readiness, figures and lameduck over HTTP/1.1."""
