"""laureldock: a dispatcher of notifications to outside receivers."""
