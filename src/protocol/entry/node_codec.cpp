#include "protocol/entry/node_codec.hpp"

#include "protocol/entry/node_archive.hpp"
#include "protocol/entry/packed_text.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace carawayturn::entry
{

// The functions are in the namespace of the structures, so that the archives find them by
// argument-dependent lookup.
using node_archive::field_reference;
using node_archive::message_reader;
using node_archive::message_writer;

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, loaded_model> value)
{
    archive(value.name, value.version, value.adapters);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, backend_record> value)
{
    archive(value.id, value.service, value.address, value.failure_domain, value.slots,
            value.draining, value.born_ms, value.models, value.cached_in_memory,
            value.cached_on_disk, value.cold_for_s, value.software_version);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, in_flight_count> value)
{
    archive(value.backend, value.model, value.count);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, demand_count> value)
{
    archive(value.service, value.model, value.arrivals, value.waiting);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, quota_request> value)
{
    archive(value.quota_request_id, value.organisation, value.units, value.extra_units,
            value.priority, value.max_wait_us);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, quota_reply> value)
{
    archive(value.quota_request_id, value.units, value.retry_after_us, value.queued);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, crash_report> value)
{
    archive(value.signature, value.backend);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, leaving_server> value)
{
    archive(value.backend, value.born_ms);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, crash_count> value)
{
    archive(value.signature, value.crashes);
}

template <class Archive>
void serialize_fields(Archive& archive,
                      field_reference<Archive, other_instances_load> value)
{
    archive(value.short_server_id, value.requests);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, model_estimate> value)
{
    archive(value.service, value.model, value.ready_in_us);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, unloading_model> value)
{
    archive(value.backend, value.model);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, cold_slot_request> value)
{
    archive(value.short_server_id, value.wanted);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, cold_slot_grant> value)
{
    archive(value.short_server_id, value.slots, value.warm_row_age_us);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, lease_row> value)
{
    archive(value.holder_address, value.holder_name, value.holder_incarnation,
            value.fence);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, node_status> value)
{
    archive(value.node, value.address, value.incarnation, value.sent_at_us,
            value.config_version, value.directory_hub, value.directory_revision,
            value.directory_digest, value.wants_config, value.complete, value.in_flight,
            value.demand, value.quota_requests, value.crashes, value.cleared_signatures,
            value.leaving, value.cold_requests, value.cancelled_quota_requests);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, directory_part> value)
{
    archive(value.records, value.removed);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, fleet_loads> value)
{
    archive(value.directory_id_sum, value.requests);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, evacuated_domain> value)
{
    archive(value.name, value.row_version);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, evacuated_domains> value)
{
    archive(value.known, value.version, value.domains, value.since_call_us,
            value.since_answer_us);
}

template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, store_state> value)
{
    archive(value.era, value.lease_era);
}

// Serializes an update without its loads and directory parts, which follow as shared
// byte strings, and without the state of the store, which follows those.
template <class Archive>
void serialize_fields(Archive& archive, field_reference<Archive, node_update> value)
{
    archive(value.from_hub, value.echo_us, value.confirmation_age_us,
            value.config_version, value.directory_age_us, value.lease,
            value.lease_version, value.lease_remaining_us, value.instances,
            value.packed_config, value.config_row, value.directory_hub,
            value.directory_revision, value.directory_changes_after, value.is_resync,
            value.replaced_buckets, value.complete, value.other_instances_loads,
            value.estimates, value.unloading_models, value.quota,
            value.exhausted_organisations, value.crashes, value.cleared_signatures,
            value.peers, value.evacuated, value.cold_grants, value.sent_at_us);
}

namespace
{

/// Size of the byte order mark with which cereal starts each archive. It is removed from
/// a part, which continues the archive of its message.
constexpr std::size_t archive_header_bytes = 1;
/// Largest ratio of a directory part's unpacked to its packed size, so that a few
/// received bytes cannot take much memory. Records stay below it because their ids and
/// addresses differ.
constexpr std::size_t most_packed = 16;
/// Largest unpacked size of the loads, in bytes. A count takes one or two bytes, and a
/// directory holds some 20,000 servers. Loads have no limit for the ratio to their packed
/// size, because most servers of a large fleet have the same small count.
constexpr std::size_t max_loads_bytes = std::size_t{64} * 1024;

template <class Message>
std::string encode_message(Message const& message)
{
    message_writer out;
    out(message);
    return out.release();
}

void read_trailing_parts(message_reader& /*in*/, node_status& /*message*/) {}

/// Writes the bytes as a block: whether they are packed, then the packed or plain bytes,
/// whichever are fewer. They are left plain if packing shortens them by more than the
/// factor `max_ratio`.
std::string encode_block(std::string const& plain, std::size_t max_ratio)
{
    auto const packed = pack(plain);
    bool const shorter =
        packed.size() < plain.size() && plain.size() <= max_ratio * packed.size();
    message_writer out;
    out(shorter, shorter ? packed : plain);
    return out.release().substr(archive_header_bytes);
}

/// Reads a block of encode_block(). Throws if it is longer than `limit` or than
/// `max_ratio` times its packed bytes.
std::string read_block(message_reader& in, std::size_t limit, std::size_t max_ratio)
{
    bool packed = false;
    std::string bytes;
    in(packed, bytes);
    if (!packed && bytes.size() > limit)
        throw std::runtime_error("a block is too long");
    if (!packed)
        return bytes;
    auto text = unpack(bytes, std::min(limit, max_ratio * bytes.size()));
    if (!succeeded(text))
        throw std::runtime_error("a packed block cannot be unpacked");
    return std::get<std::string>(std::move(text));
}

/// Reads a part of the directory, whose bytes may be packed. Subtracts the unpacked size
/// from `bytes_left`, the limit for the parts that follow in the message, and the memory
/// of the list items from `list_memory`.
directory_part read_directory_part(message_reader& in, std::size_t& bytes_left,
                                   std::size_t& list_memory)
{
    auto const bytes = read_block(in, bytes_left, most_packed);
    bytes_left -= bytes.size();
    message_reader part_in(bytes, list_memory);
    directory_part part;
    part_in(part);
    list_memory = part_in.list_memory();
    if (!part_in.at_end())
        throw std::runtime_error("bytes after a part of the directory");
    return part;
}

/// Reads the loads and the parts of the directory. Merges the parts into one, so that a
/// message with many empty parts takes no more memory than one with a single part.
void read_loads_and_directory(message_reader& in, node_update& message)
{
    std::uint64_t count = 0;
    bool has_loads = false;
    in(count, has_loads);
    if (has_loads)
    {
        fleet_loads loads;
        auto const bytes = read_block(in, max_loads_bytes, max_loads_bytes);
        message_reader loads_in(bytes, in.list_memory());
        loads_in(loads);
        if (!loads_in.at_end())
            throw std::runtime_error("bytes after the loads");
        message.loads = std::make_shared<fleet_loads const>(std::move(loads));
    }
    if (count == 0)
        return;
    auto const all = std::make_shared<directory_part>();
    std::size_t bytes_left = max_node_message;
    auto list_memory = in.list_memory();
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto part = read_directory_part(in, bytes_left, list_memory);
        std::move(part.records.begin(), part.records.end(),
                  std::back_inserter(all->records));
        std::move(part.removed.begin(), part.removed.end(),
                  std::back_inserter(all->removed));
    }
    message.directory.push_back(all);
}

void read_trailing_parts(message_reader& in, node_update& message)
{
    read_loads_and_directory(in, message);
    if (in.at_end())
        return;
    store_state state;
    in(state);
    message.store = state;
}

template <class Message>
result<Message> decode_message(std::string_view bytes, std::string_view step)
{
    try
    {
        message_reader in(bytes);
        Message message;
        in(message);
        read_trailing_parts(in, message);
        if (in.at_end())
            return message;
        return error{error_code::protocol_violation, std::string(step), "",
                     "bytes after the message"};
    }
    catch (std::exception const& failure)
    {
        return error{error_code::protocol_violation, std::string(step), "",
                     failure.what()};
    }
}

} // namespace

std::string encode(node_status const& message)
{
    return encode_message(message);
}

std::string encode(node_update const& message)
{
    return update_encoder().encode(message).str();
}

std::size_t encoded_update::size() const
{
    auto size = head.size();
    for (auto const& part : parts)
        size += part->size();
    return size;
}

std::string encoded_update::str() const
{
    auto bytes = head;
    for (auto const& part : parts)
        bytes += *part;
    return bytes;
}

std::shared_ptr<std::string const>
update_encoder::encode_part(std::shared_ptr<directory_part const> const& part)
{
    auto const found = parts_.find(part);
    if (found != parts_.end())
        return found->second;
    // A part that only this cache still references will not be sent again.
    std::erase_if(parts_, [](auto const& entry) { return entry.first.use_count() == 1; });
    ++parts_encoded_;
    // Packing shortens a part because its records repeat the names of services, models
    // and failure domains. The part is packed once, while its bytes are sent to each
    // instance.
    auto bytes = std::make_shared<std::string const>(
        encode_block(encode_message(*part), most_packed));
    parts_.emplace(part, bytes);
    return bytes;
}

encoded_update update_encoder::encode(node_update const& update)
{
    message_writer head;
    head(update, std::uint64_t{update.directory.size()}, update.loads != nullptr);
    encoded_update encoded{head.release(), {}};
    if (update.loads)
    {
        if (update.loads != loads_)
        {
            loads_ = update.loads;
            loads_bytes_ = std::make_shared<std::string const>(
                encode_block(encode_message(*loads_), max_loads_bytes));
            ++loads_encoded_;
        }
        encoded.parts.push_back(loads_bytes_);
    }
    for (auto const& part : update.directory)
        encoded.parts.push_back(encode_part(part));
    if (update.store)
        encoded.parts.push_back(std::make_shared<std::string const>(
            encode_message(*update.store).substr(archive_header_bytes)));
    return encoded;
}

result<node_status> decode_status(std::string_view bytes)
{
    return decode_message<node_status>(bytes, "peer.decode_status");
}

result<node_update> decode_update(std::string_view bytes)
{
    return decode_message<node_update>(bytes, "peer.decode_update");
}

} // namespace carawayturn::entry
