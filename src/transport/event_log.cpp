#include "transport/event_log.hpp"

#include "transport/spdlog_level.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <utility>

namespace carawayturn
{

namespace
{

constexpr log_event unlisted{0, log_level::error, "unlisted_event"};

} // namespace

struct event_log::state
{
    state(std::string own_name, std::ostream& out)
        : instance(std::move(own_name)),
          logger("events", std::make_shared<spdlog::sinks::ostream_sink_mt>(out, true))
    {
    }

    std::string instance;
    spdlog::logger logger;
};

event_log::event_log(std::string instance, log_level least, std::ostream& out)
    : state_(std::make_unique<state>(std::move(instance), out))
{
    state_->logger.set_level(spdlog_level(least));
    // The payload is a JSON object without its opening brace.
    state_->logger.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v)",
                               spdlog::pattern_time_type::utc);
}

event_log::~event_log() = default;

void event_log::write(std::uint16_t number, std::string_view subject,
                      std::string_view detail)
{
    auto const* const listed = find_log_event(number);
    auto const& entry = listed == nullptr ? unlisted : *listed;
    auto const level = spdlog_level(entry.level);
    if (!state_->logger.should_log(level))
        return;
    boost::json::object fields;
    fields["number"] = number;
    fields["name"] = entry.name;
    fields["level"] = name_of(entry.level);
    fields["subject"] = subject;
    fields["detail"] = detail;
    fields["instance"] = state_->instance;
    state_->logger.log(level, boost::json::serialize(fields).substr(1));
}

} // namespace carawayturn
