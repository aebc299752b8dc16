#include "protocol/peer_codec.hpp"

#include "protocol/peer_archive.hpp"
#include "state/hash.hpp"

#include <exception>

namespace carawayturn
{

namespace
{

// A message is the format version (one byte), a cereal portable binary archive in
// little-endian order, and the HMAC-SHA-256 of both. Within the archive a string or list
// begins with its length in 32 bits, a variant with its index in 8 bits; a bool or
// enumeration takes 8 bits, a duration 64 bits in microseconds.

/// Raised with every change of the layout; a message of another version is refused.
constexpr char format_version = 1;
constexpr std::size_t version_bytes = 1;
constexpr std::size_t code_bytes = 32;

} // namespace

// The fields of each type in the order of the wire. The structured bindings make it a
// compile error to add a member to a type and forget it here.

template <class Io>
static void fields(Io& io, peer_archive::described<Io, endpoint> value)
{
    auto& [address, port] = value;
    io(address, port);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, member_entry> value)
{
    auto& [id, incarnation, slot, has_slot, heartbeat, state, peer_address,
           failure_domain, store_contact_age, config, fence] = value;
    io(id, incarnation, slot, has_slot, heartbeat, state, peer_address, failure_domain,
       store_contact_age, config, fence);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, gossip> value)
{
    auto& [entries, poisonous, leaving] = value;
    io(entries, poisonous, leaving);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, config_query> value)
{
    auto& [query, have] = value;
    io(query, have);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, model_config> value)
{
    auto& [id, version, bytes, max_replicas] = value;
    io(id, version, bytes, max_replicas);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, adapter_config> value)
{
    auto& [id, model, bytes] = value;
    io(id, model, bytes);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, pool_config> value)
{
    auto& [id, kind, load_slots, loads_per_second, adapter_load_slots, models] = value;
    io(id, kind, load_slots, loads_per_second, adapter_load_slots, models);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, route_config> value)
{
    auto& [path_prefix, pool, open, at_most_once, priority, default_deadline,
           request_tokens] = value;
    io(path_prefix, pool, open, at_most_once, priority, default_deadline, request_tokens);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, organisation_config> value)
{
    auto& [id, rate, burst, models, pools, key_digests] = value;
    io(id, rate, burst, models, pools, key_digests);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, fleet_config> value)
{
    auto& [version, instance_slots, models, adapters, pools, routes, organisations] =
        value;
    io(version, instance_slots, models, adapters, pools, routes, organisations);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, replace_config> value)
{
    auto& [config] = value;
    io(config);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, grant_key> value)
{
    auto& [organisation, key] = value;
    io(organisation, key);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, withdraw_key> value)
{
    auto& [organisation, key] = value;
    io(organisation, key);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, put_adapter> value)
{
    auto& [adapter] = value;
    io(adapter);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, remove_adapter> value)
{
    auto& [adapter] = value;
    io(adapter);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, config_reply> value)
{
    auto& [query, version, confirmed_age, changes, whole_copy] = value;
    io(query, version, confirmed_age, changes, whole_copy);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, demand_entry> value)
{
    auto& [model, adapter, waiting, oldest_wait, tightest_deadline, arrivals,
           organisation] = value;
    io(model, adapter, waiting, oldest_wait, tightest_deadline, arrivals, organisation);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, demand_report> value)
{
    auto& [pool, incarnation, sequence, entries] = value;
    io(pool, incarnation, sequence, entries);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, loaded_item> value)
{
    auto& [model, adapter, version, bytes] = value;
    io(model, adapter, version, bytes);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, replica> value)
{
    auto& [backend, item] = value;
    io(backend, item);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, placement_update> value)
{
    auto& [pool, fence, version, replicas, loading] = value;
    io(pool, fence, version, replicas, loading);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, lend_query> value)
{
    auto& [query, incarnation, organisations] = value;
    io(query, incarnation, organisations);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, lend_entry> value)
{
    auto& [organisation, shares, clock, handed_over, spent, returned, wanted, reserved] =
        value;
    io(organisation, shares, clock, handed_over, spent, returned, wanted, reserved);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, lend_reply> value)
{
    auto& [query, incarnation, entries] = value;
    io(query, incarnation, entries);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, budget_ask> value)
{
    auto& [ask, incarnation, entry] = value;
    io(ask, incarnation, entry);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, budget_grant> value)
{
    auto& [ask, query, organisation, owner_incarnation, member_incarnation, clock,
           granted, valid, retry_after, ends_lending] = value;
    io(ask, query, organisation, owner_incarnation, member_incarnation, clock, granted,
       valid, retry_after, ends_lending);
}

template <class Io>
static void fields(Io& io, peer_archive::described<Io, poison_notice> value)
{
    auto& [signature, crashes] = value;
    io(signature, crashes);
}

namespace
{

error violation(std::string detail)
{
    return {error_code::protocol_violation, "peer.decode", "", std::move(detail)};
}

} // namespace

std::string encode_peer(std::string_view cluster_secret, instance_id const& from,
                        peer_message const& message)
{
    peer_archive::peer_writer writer;
    writer(from, message);
    std::string bytes(1, format_version);
    bytes += writer.release();
    bytes += hmac_sha256(cluster_secret, bytes);
    return bytes;
}

result<peer_envelope> decode_peer(std::string_view cluster_secret, std::string_view bytes)
{
    if (bytes.size() > max_peer_message_bytes)
        return violation("the message is too large");
    if (bytes.size() < version_bytes + code_bytes)
        return violation("the message is too short");
    auto const signed_part = bytes.substr(0, bytes.size() - code_bytes);
    if (!equal_in_constant_time(hmac_sha256(cluster_secret, signed_part),
                                bytes.substr(signed_part.size())))
        return error{error_code::permission_denied, "peer.decode", "",
                     "the authentication code does not match"};
    if (signed_part.front() != format_version)
        return violation("the format version is not supported");
    try
    {
        peer_envelope envelope;
        peer_archive::peer_reader reader(signed_part.substr(version_bytes));
        reader(envelope.from, envelope.message);
        reader.finish();
        return envelope;
    }
    catch (std::exception const& failure)
    {
        return violation(failure.what());
    }
}

} // namespace carawayturn
