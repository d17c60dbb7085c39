"""The asyncio shell of coordination: reads messages, keeps time, carries the state machines' effects out."""
