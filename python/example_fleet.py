"""Prints a small configuration with a model service and a plain service."""

from carawayturn_config import Fleet, key_digest


def main() -> None:
    fleet = Fleet(instance_slots=16)
    base = fleet.model("base-7b", bytes=14_000_000_000, max_replicas=2)
    notes = fleet.adapter("crew-notes", model=base, bytes=80_000_000)
    chat = fleet.model_pool("chat", models=[base], load_slots=4, loads_per_second=4)
    dispatch = fleet.plain_pool("dispatch")
    fleet.route("/v1/chat", pool=chat)
    fleet.route("/status", pool=dispatch, open=True, priority=0, default_deadline_ms=2_000)
    fleet.route("/bookings", pool=dispatch, at_most_once=True)
    fleet.organisation(
        "acme",
        rate=500,
        burst=20_000,
        models=[base, notes],
        pools=[chat, dispatch],
        keys=[key_digest("example-key")],
    )
    fleet.print()


if __name__ == "__main__":
    main()
