#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <algorithm>

// The software version at which a stream goes on. What two versions write does not fit
// together, and servers do not check this.
namespace carawayturn::entry
{

namespace
{

/// A server that ends is not back at another version within this time. A request that
/// waited for longer, also in a pause of this process, needs a newer reading.
constexpr duration max_reading_age = std::chrono::milliseconds(500);

} // namespace

bool request_flow::use_service(std::string const& name)
{
    if (service_->name == name)
        return true;
    bool const is_target =
        std::any_of(route_->targets.begin(), route_->targets.end(),
                    [&](route_target const& target) { return target.service == name; });
    auto const* const service = is_target ? config_->find_service(name) : nullptr;
    if (service == nullptr)
        return false;
    service_ = service;
    crash_signatures_ = {};
    set_crash_signatures();
    return true;
}

task<std::optional<request_flow::refusal>> request_flow::find_stream_version()
{
    if (route_->kind != request_kind::stream || head_.resume_after.empty())
        co_return std::nullopt;
    auto const found =
        co_await services_.streams.find(head_.begun_as, service_->name, arrival_);
    version_source_ = found.source;
    log_take_up(found);
    if (found.source == version_source::unknown)
        co_return refusal{refusal_reason::stream_version_unknown, {}};
    if (!use_service(found.origin.service))
        co_return refusal{refusal_reason::stream_version_unavailable, {}};
    if (!found.origin.version.empty())
        version_ = found.origin.version;
    co_return std::nullopt;
}

void request_flow::log_take_up(stream_lookup const& found)
{
    auto const known = services_.streams.knowledge(service_->name, arrival_);
    services_.log.write(
        entry_event::stream_taken_up,
        {{"request", head_.id},
         {"resumes", std::string_view(head_.begun_as).substr(0, flow::max_logged_id)},
         {"service", service_->name},
         {"version_source", entry::name_of(found.source)},
         {"stream_version", found.origin.version},
         {"unknown_because", entry::name_of(found.gap)},
         {"versions_known", entry::name_of(known.versions)},
         {"versions_age_ms", known.age ? to_ms(*known.age) : -1},
         {"waited_ms", to_ms(boot_now() - arrival_)}});
}

void request_flow::log_kept_back(std::string_view reason, time_point since)
{
    auto const known = services_.streams.knowledge(service_->name, since);
    services_.log.write(entry_event::stream_kept_back,
                        {{"request", head_.id},
                         {"service", service_->name},
                         {"server", server_.id},
                         {"stream_version", *version_},
                         {"reason", reason},
                         {"versions_known", entry::name_of(known.versions)},
                         {"versions_age_ms", known.age ? to_ms(*known.age) : -1},
                         {"versions_needed_ms", to_ms(boot_now() - since)}});
}

void request_flow::note_stream_begun()
{
    if (route_->resumable && !version_)
        version_ = services_.streams.note_begun(head_.id, server_);
}

bool request_flow::version_known() const
{
    if (version_denied_)
        return false;
    if (!version_ || version_source_)
        return true;
    bool const known = !version_->empty() && services_.streams.knows(head_.id);
    return known || services_.streams.versions_unstated(service_->name);
}

task<bool> request_flow::has_required_version()
{
    if (!version_ || !service_->engine)
        co_return true;
    auto const now = boot_now();
    // What goes on within this answer has begun after the request arrived.
    auto const since = stream_begun_ ? now : std::max(arrival_, now - max_reading_age);
    bool confirmed = version_source_.has_value();
    if (!confirmed)
        confirmed = co_await services_.streams.is_begin_confirmed(head_.id);
    if (!confirmed || version_->empty())
    {
        bool const unstated =
            co_await services_.streams.versions_unstated_since(service_->name, since);
        version_denied_ = !unstated;
        if (!unstated)
            log_kept_back(confirmed ? "version_unstated" : "begin_unconfirmed", since);
        co_return unstated;
    }
    bool const same = co_await services_.streams.is_recorded_process(server_, since);
    if (!same)
    {
        log_kept_back("process_unconfirmed", since);
        excluded_.insert(server_.id);
    }
    co_return same;
}

} // namespace carawayturn::entry
