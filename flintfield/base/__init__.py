"""What every part may use: settings and their readers, a background thread, lines on standard error."""
