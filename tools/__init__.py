"""What the build needs beside the libraries."""
