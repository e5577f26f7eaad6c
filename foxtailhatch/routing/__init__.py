"""Which chain of endpoints a request takes."""
