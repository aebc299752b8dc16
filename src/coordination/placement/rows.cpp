#include "coordination/placement/rows.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace carawayturn::placement
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 3> phase_names{"loading", "loaded", "unloading"};

template <class T>
T number(json::object const& object, std::string_view field)
{
    return object.at(field).to_number<T>();
}

std::string text(json::object const& object, std::string_view field)
{
    return std::string(object.at(field).as_string());
}

reservation_phase phase_of(std::string const& name)
{
    auto const* const found = std::find(phase_names.begin(), phase_names.end(), name);
    if (found == phase_names.end())
        throw std::out_of_range("phase");
    return static_cast<reservation_phase>(found - phase_names.begin());
}

json::object to_json(reservation const& value)
{
    return {{"load", value.load.str()},        {"unload", value.unload.str()},
            {"model", value.item.model.str()}, {"adapter", value.item.adapter.str()},
            {"version", value.item.version},   {"bytes", value.item.bytes},
            {"phase", name_of(value.phase)},   {"settled", value.settled}};
}

reservation reservation_from(json::object const& object)
{
    reservation value;
    value.load = decision_id(text(object, "load"));
    value.unload = decision_id(text(object, "unload"));
    value.item.model = model_id(text(object, "model"));
    value.item.adapter = adapter_id(text(object, "adapter"));
    value.item.version = text(object, "version");
    value.item.bytes = number<byte_count>(object, "bytes");
    value.phase = phase_of(text(object, "phase"));
    value.settled = object.at("settled").as_bool();
    return value;
}

runner_row runner_row_from(json::object const& object)
{
    runner_row row;
    row.pool = pool_id(text(object, "pool"));
    row.incarnation = number<incarnation_number>(object, "incarnation");
    row.capacity = number<byte_count>(object, "capacity");
    row.fence = number<fencing_number>(object, "fence");
    for (auto const& entry : object.at("reservations").as_array())
        row.reservations.push_back(reservation_from(entry.as_object()));
    return row;
}

pool_row pool_row_from(json::object const& object)
{
    pool_row row;
    row.owner = instance_id(text(object, "owner"));
    row.incarnation = number<incarnation_number>(object, "incarnation");
    row.slot = number<slot_number>(object, "slot");
    row.slot_fence = number<fencing_number>(object, "slot_fence");
    row.fence = number<fencing_number>(object, "fence");
    row.released = object.at("released").as_bool();
    return row;
}

// Boost.JSON reports missing fields and wrong types by exceptions.
template <class Row>
result<Row> parse(std::string_view input, Row (*convert)(json::object const&),
                  std::string_view step)
{
    try
    {
        return convert(json::parse(input).as_object());
    }
    catch (std::exception const& failure)
    {
        return error{error_code::protocol_violation, std::string(step), "",
                     failure.what()};
    }
}

} // namespace

std::string_view name_of(reservation_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::string runner_key(backend_id const& runner)
{
    return std::string(runner_prefix) + runner.str();
}

std::string pool_key(pool_id const& pool)
{
    return "pools/" + pool.str();
}

std::string print(runner_row const& row)
{
    json::array reservations;
    for (auto const& entry : row.reservations)
        reservations.push_back(to_json(entry));
    return json::serialize(json::object{{"pool", row.pool.str()},
                                        {"incarnation", row.incarnation},
                                        {"capacity", row.capacity},
                                        {"fence", row.fence},
                                        {"reservations", std::move(reservations)}});
}

std::string print(pool_row const& row)
{
    return json::serialize(json::object{{"owner", row.owner.str()},
                                        {"incarnation", row.incarnation},
                                        {"slot", row.slot},
                                        {"slot_fence", row.slot_fence},
                                        {"fence", row.fence},
                                        {"released", row.released}});
}

result<runner_row> parse_runner_row(std::string_view text)
{
    return parse<runner_row>(text, runner_row_from, "placement.runner_row");
}

result<pool_row> parse_pool_row(std::string_view text)
{
    return parse<pool_row>(text, pool_row_from, "placement.pool_row");
}

} // namespace carawayturn::placement
