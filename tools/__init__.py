"""Developer tools; topazhold itself does not use them."""
