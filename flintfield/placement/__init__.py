"""Which worker a ready task goes to: shares on the decision module, within capacity that nobody guards."""
