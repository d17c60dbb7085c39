"""`python -m flintfield` runs one scheduler."""

from flintfield.lifecycle.start import main

raise SystemExit(main())
