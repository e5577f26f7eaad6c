"""What the platform's log decides: claims, leases and orders."""
