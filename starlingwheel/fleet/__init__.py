"""What several sidecars decide together. No I/O: clock and randomness are passed in, a host acts."""
