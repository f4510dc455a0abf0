"""Line protocols without I/O: bytes in, events out."""
