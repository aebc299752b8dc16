#include "coordination/detail/table_rows.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace carawayturn::detail
{

namespace
{

namespace json = boost::json;

constexpr std::string_view slot_prefix = "slots/";

std::optional<json::object> parse_object(std::string_view text)
{
    json::error_code failure;
    auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.as_object());
}

template <class Number>
bool read_number(json::object const& object, std::string_view field, Number& value)
{
    auto const* const found = object.if_contains(field);
    if (found == nullptr)
        return false;
    json::error_code failure;
    value = found->to_number<Number>(failure);
    return !failure;
}

bool read_text(json::object const& object, std::string_view field, std::string& value)
{
    auto const* const found = object.if_contains(field);
    if (found == nullptr || !found->is_string())
        return false;
    value = std::string(found->get_string());
    return true;
}

} // namespace

std::string slot_key(slot_number slot)
{
    return std::string(slot_prefix) + std::to_string(slot);
}

std::optional<slot_number> slot_of_key(std::string_view key)
{
    if (!key.starts_with(slot_prefix))
        return std::nullopt;
    key.remove_prefix(slot_prefix.size());
    slot_number slot = 0;
    auto const [end, failure] =
        std::from_chars(key.data(), key.data() + key.size(), slot);
    if (failure != std::errc{} || end != key.data() + key.size())
        return std::nullopt;
    return slot;
}

std::string print_slot_row(slot_row const& row)
{
    return json::serialize(json::object{{"holder", row.holder.str()},
                                        {"incarnation", row.incarnation},
                                        {"fence", row.fence},
                                        {"counter", row.counter},
                                        {"address", row.peer_address.address},
                                        {"peer_port", row.peer_address.port},
                                        {"failure_domain", row.failure_domain.str()}});
}

std::optional<slot_row> parse_slot_row(std::string_view text)
{
    auto const object = parse_object(text);
    if (!object)
        return std::nullopt;
    slot_row row;
    std::string holder;
    std::string failure_domain;
    bool const complete = read_text(*object, "holder", holder) &&
                          read_number(*object, "incarnation", row.incarnation) &&
                          read_number(*object, "fence", row.fence) &&
                          read_number(*object, "counter", row.counter) &&
                          read_text(*object, "address", row.peer_address.address) &&
                          read_number(*object, "peer_port", row.peer_address.port) &&
                          read_text(*object, "failure_domain", failure_domain);
    if (!complete)
        return std::nullopt;
    row.holder = instance_id(std::move(holder));
    row.failure_domain = failure_domain_id(std::move(failure_domain));
    return row;
}

std::string print_config_head(config_version version)
{
    return json::serialize(json::object{{"version", version}});
}

std::optional<config_version> parse_config_head(std::string_view text)
{
    auto const object = parse_object(text);
    config_version version = 0;
    if (!object || !read_number(*object, "version", version))
        return std::nullopt;
    return version;
}

std::string config_change_key(config_version version)
{
    return "config/" + std::to_string(version);
}

std::string config_copy_key(config_version version)
{
    return "config/copy/" + std::to_string(version);
}

} // namespace carawayturn::detail
