"""`python -m flintfield` runs one real scheduler."""

from flintfield.lifecycle.start import main

raise SystemExit(main())
