"""What is kept: pooled buffers, the descriptors in use, the work in hand."""
