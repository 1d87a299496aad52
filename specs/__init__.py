"""Small specifications and the exhaustive checker that explores them."""
