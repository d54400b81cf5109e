"""Programs for developers; the product does not use them."""
