#include "protocol/entry/node_codec.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <sstream>
#include <streambuf>

namespace carawayturn::entry
{

template <class Archive>
void serialize(Archive& archive, held_model& value)
{
    archive(value.name, value.version, value.adapters);
}

template <class Archive>
void serialize(Archive& archive, backend_record& value)
{
    archive(value.id, value.number, value.service, value.address, value.failure_domain,
            value.slots, value.draining, value.born_ms, value.models,
            value.cached_in_memory, value.cached_on_disk);
}

template <class Archive>
void serialize(Archive& archive, in_flight_count& value)
{
    archive(value.backend, value.model, value.count);
}

template <class Archive>
void serialize(Archive& archive, demand_count& value)
{
    archive(value.service, value.model, value.arrivals, value.waiting);
}

template <class Archive>
void serialize(Archive& archive, quota_ask& value)
{
    archive(value.ask_id, value.organisation, value.units, value.reserve);
}

template <class Archive>
void serialize(Archive& archive, quota_reply& value)
{
    archive(value.ask_id, value.units, value.retry_after_us);
}

template <class Archive>
void serialize(Archive& archive, crash_report& value)
{
    archive(value.signature, value.backend);
}

template <class Archive>
void serialize(Archive& archive, crash_count& value)
{
    archive(value.signature, value.crashes);
}

template <class Archive>
void serialize(Archive& archive, backend_total& value)
{
    archive(value.number, value.others);
}

template <class Archive>
void serialize(Archive& archive, model_estimate& value)
{
    archive(value.service, value.model, value.ready_in_us);
}

template <class Archive>
void serialize(Archive& archive, retiring_model& value)
{
    archive(value.backend, value.model);
}

template <class Archive>
void serialize(Archive& archive, lease_row& value)
{
    archive(value.holder_address, value.holder_name, value.holder_incarnation,
            value.fence);
}

template <class Archive>
void serialize(Archive& archive, node_status& value)
{
    archive(value.node, value.address, value.incarnation, value.sent_at_us,
            value.config_version, value.directory_hub, value.directory_revision,
            value.wants_config, value.complete, value.in_flight, value.demand, value.asks,
            value.crashes, value.survived);
}

template <class Archive>
void serialize(Archive& archive, node_update& value)
{
    archive(value.from_hub, value.echo_us, value.confirmation_age_us,
            value.config_version, value.directory_age_us, value.lease,
            value.lease_version, value.lease_remaining_us, value.instances,
            value.config_text, value.config_row, value.directory_hub,
            value.directory_revision, value.whole_directory, value.records, value.removed,
            value.complete, value.totals, value.estimates, value.retiring, value.quota,
            value.crashes, value.survived, value.peers);
}

namespace
{

/// Reads from bytes that belong to somebody else.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        // setg() needs mutable pointers; an input buffer never writes through them.
        auto* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
};

template <class Message>
std::string encode_message(Message const& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return std::move(out).str();
}

template <class Message>
result<Message> decode_message(std::string_view bytes, std::string_view step)
{
    try
    {
        view_buffer buffer(bytes);
        std::istream in(&buffer);
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        return message;
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
    return encode_message(message);
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
