#include "prefix_cache.hpp"

#include <algorithm>

namespace carawayturn::standins
{

namespace
{

constexpr std::size_t max_events = 10000;

} // namespace

bool prefix_cache::touch(std::string const& model, std::string const& prefix)
{
    std::lock_guard const lock(mutex_);
    cached_prefix subject{model, prefix};
    bool const hit = std::erase(prefixes_, subject) != 0;
    prefixes_.push_front(subject);
    if (!hit)
        append_event("stored", subject);
    if (prefixes_.size() > settings_.capacity)
    {
        append_event("removed", prefixes_.back());
        prefixes_.pop_back();
    }
    return hit;
}

void prefix_cache::clear()
{
    std::lock_guard const lock(mutex_);
    prefixes_.clear();
}

boost::json::array prefix_cache::events_after(std::uint64_t number) const
{
    std::lock_guard const lock(mutex_);
    auto const shown_until = std::chrono::steady_clock::now() - settings_.event_lag;
    boost::json::array shown;
    for (auto const& event : events_)
    {
        if (event.number <= number || event.at > shown_until)
            continue;
        shown.push_back(boost::json::object{{"sequence", event.number},
                                            {"kind", event.kind},
                                            {"model", event.subject.model},
                                            {"prefix", event.subject.prefix}});
    }
    return shown;
}

void prefix_cache::append_event(char const* kind, cached_prefix const& subject)
{
    ++last_event_;
    if (settings_.gap_every != 0 && last_event_ % settings_.gap_every == 0)
        return;
    events_.push_back({last_event_, std::chrono::steady_clock::now(), kind, subject});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace carawayturn::standins
