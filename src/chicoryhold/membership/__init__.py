"""Which hosts there are: joining through seeds, presence, and forgetting."""
