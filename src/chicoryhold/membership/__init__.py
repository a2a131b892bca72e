"""Which hosts exist: joining through seeds, presence reports, and expiry."""
