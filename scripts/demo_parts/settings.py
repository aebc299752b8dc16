"""Constants of the demo: paths, flags of the daemon, sizes, limits and the configuration."""

import hashlib
import os
import pathlib
import secrets

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
# Tests set DEMO_OUTPUT so that each run writes to a separate folder.
OUTPUT = pathlib.Path(os.environ.get("DEMO_OUTPUT", ROOT / "out" / "demo"))
DAEMON = BUILD / "src" / "app" / "carawayturnd"
LOAD_TOOL = BUILD / "tools" / "carawayturn_load"
STANDINS = BUILD / "standins"

# Flags of the daemon; see `carawayturnd --help`.
DAEMON_FLAGS = {
    "instance_id": "--instance",
    "failure_domain": "--failure_domain",
    "listen": "--listen",
    "admin_listen": "--admin_listen",
    "peer_listen": "--peer_listen",
    "table": "--table",
    "objects": "--object_store",
    "instance_list": "--instance_list",
    "cluster_secret": "--cluster_secret",
    "operator_token": "--operator_token",
}

# HTTP paths of the admin interface and of the readiness probe.
CHANGES_PATH = "/admin/changes"
CONFIG_PATH = "/admin/config"
READY_PATH = "/readyz"

CLUSTER_SECRET = secrets.token_hex(16)
OPERATOR_TOKEN = secrets.token_hex(16)

INSTANCES = 3
ENGINES = 4
ENGINE_CAPACITY = 4 << 30
MODEL_BYTES = 1 << 30
MAX_REPLICAS = 2
ADAPTER_BYTES = 32 << 20
LIST_LAG_MS = 1000
# Maximum seconds from submitting a change until every instance applies it.
CHANGE_LIMIT_S = 8.0
# Seconds until the platform's list and the fleet notice a leaving backend server.
LEAVING_S = LIST_LAG_MS / 1000 + 4.0
DRAIN_LIMIT_S = 60.0

MODELS = ["atlas", "birch", "cedar"]
ADAPTERS = {f"atlas-{number}": "atlas" for number in range(6)} | {
    f"birch-{number}": "birch" for number in range(4)}

SMALL_RATE = 40
SMALL_BURST = 300

KEYS = {organisation: f"key-{organisation}-{secrets.token_hex(8)}"
        for organisation in ("harbour", "meadow", "small", "visitor")}


def digest(key):
    """Returns the digest of a key in the format of the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


def organisation(name, rate, burst):
    return {"id": name, "rate": rate, "burst": burst, "models": ["*"], "pools": ["*"],
            "key_digests": [digest(KEYS[name])]}


def route(prefix, pool, **fields):
    return {"path_prefix": prefix, "pool": pool, "open": False, "at_most_once": False,
            "priority": 10, "default_deadline_ms": 30000, "request_tokens": 1} | fields


def initial_config():
    """Returns a configuration with a model service and the plain services of both deployments."""
    return {
        "instance_slots": INSTANCES,
        "models": [{"id": name, "version": "1", "bytes": MODEL_BYTES, "max_replicas": MAX_REPLICAS}
                   for name in MODELS],
        "adapters": [{"id": name, "model": model, "bytes": ADAPTER_BYTES}
                     for name, model in ADAPTERS.items()],
        "pools": [
            {"id": "models", "kind": "model", "load_slots": 4, "loads_per_second": 4.0,
             "adapter_load_slots": 32, "models": MODELS},
            {"id": "dispatch", "kind": "plain"},
            {"id": "registry", "kind": "plain"},
        ],
        "routes": [
            route("/v1/chat/completions", "models"),
            route("/dispatch/", "dispatch"),
            route("/dispatch/bookings", "dispatch", at_most_once=True),
            route("/registry/", "registry"),
            route("/registry/filings", "registry", at_most_once=True),
            route("/registry/public", "registry", open=True),
        ],
        "organisations": [
            organisation("harbour", 100000, 200000),
            organisation("meadow", 100000, 200000),
            organisation("small", SMALL_RATE, SMALL_BURST),
            organisation("visitor", 100000, 200000),
        ],
    }


def replace_change(config):
    """Returns a change that replaces the whole configuration."""
    return {"type": "replace", "config": config}


def withdraw_change(name):
    """Returns a change that withdraws an organisation's key."""
    return {"type": "withdraw_key", "organisation": name, "key_digest": digest(KEYS[name])}
