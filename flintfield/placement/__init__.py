"""Which worker a ready task goes to: prices and shares on the decision module, within capacity nobody guards."""
