"""Scripts that build, check or generate files of this repository."""
