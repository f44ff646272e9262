"""Programs that build or generate files of this repository."""
