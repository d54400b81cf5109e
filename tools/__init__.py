"""Programs for developers; topazhold itself does not use them."""
