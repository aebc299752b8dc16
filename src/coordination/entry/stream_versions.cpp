#include "coordination/entry/stream_versions.hpp"

#include "state/stable_hash.hpp"

#include <array>
#include <cstdio>

namespace carawayturn::entry
{

namespace
{

/// Streams that are kept. Bounds the memory; the oldest ones give way.
constexpr std::size_t max_streams = 4096;
/// A server writes its record within this time from the start of its process.
constexpr duration record_lag = std::chrono::seconds(3);
constexpr std::size_t min_removals = 50;
/// Seed of the second half of a key.
constexpr std::uint64_t second_seed = 0x9e3779b97f4a7c15;

} // namespace

stream_key stream_key::of(std::string_view request_id)
{
    return {stable_hash(request_id), stable_hash(request_id, second_seed)};
}

std::string stream_key::str() const
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text.data();
}

void stream_versions::erase_oldest()
{
    auto const oldest = entries_.find(order_.front());
    order_.pop_front();
    auto const service = oldest->second.origin.service;
    if (oldest->second.state == record_state::written && removals_.size() < max_streams)
        removals_.push_back(oldest->first);
    entries_.erase(oldest);
    auto const unwritten = unwritten_.find(service);
    if (unwritten == unwritten_.end())
        return;
    auto& keys = unwritten->second;
    while (!keys.empty() && entries_.count(keys.front()) == 0)
        keys.pop_front();
    if (keys.empty())
        unwritten_.erase(unwritten);
}

void stream_versions::add(stream_key key, entry added)
{
    if (added.state == record_state::unwritten)
        unwritten_[added.origin.service].push_back(key);
    entries_.emplace(key, std::move(added));
    order_.push_back(key);
    if (entries_.size() > max_streams)
        erase_oldest();
}

void stream_versions::mark_unknown(stream_key key, entry& known)
{
    if (known.origin.version.empty())
        return;
    known.origin.version.clear();
    if (known.state == record_state::written)
        unwritten_[known.origin.service].push_back(key);
}

void stream_versions::note_begun(std::string_view request_id,
                                 server_version const& origin, std::string_view server,
                                 time_point now)
{
    auto const key = stream_key::of(request_id);
    auto const known = entries_.find(key);
    if (known != entries_.end())
    {
        if (known->second.origin != origin)
            mark_unknown(key, known->second);
    }
    else if (!origin.version.empty())
        add(key, {origin, stable_hash(server), now, record_state::unwritten, false});
}

void stream_versions::learn(stream_key key, server_version const& origin, time_point now)
{
    if (entries_.count(key) == 0)
        add(key, {origin, 0, now, record_state::foreign, true});
}

bool stream_versions::note_replaced(std::string_view server, time_point read_at)
{
    auto const hash = stable_hash(server);
    bool changed = false;
    for (auto key = order_.rbegin(); key != order_.rend(); ++key)
    {
        auto& known = entries_.at(*key);
        if (read_at - known.begun_at > record_lag)
            break;
        if (known.server != hash || known.confirmed)
            continue;
        changed = changed || !known.origin.version.empty();
        mark_unknown(*key, known);
    }
    return changed;
}

void stream_versions::confirm(stream_key key)
{
    if (auto const known = entries_.find(key); known != entries_.end())
        known->second.confirmed = true;
}

std::optional<time_point> stream_versions::unconfirmed_since(stream_key key) const
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.confirmed)
        return std::nullopt;
    return found->second.begun_at;
}

bool stream_versions::is_unknown(stream_key key) const
{
    auto const found = entries_.find(key);
    return found != entries_.end() && found->second.origin.version.empty();
}

void stream_versions::forget(stream_key key)
{
    if (auto const known = entries_.find(key); known != entries_.end())
        mark_unknown(key, known->second);
}

std::optional<server_version> stream_versions::find(stream_key key) const
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.origin.version.empty())
        return std::nullopt;
    return found->second.origin;
}

stream_record_batch stream_versions::take_batch(is_written_rule const& is_written,
                                                std::size_t limit)
{
    stream_record_batch batch;
    for (auto& [service, keys] : unwritten_)
    {
        if (!is_written(service))
            continue;
        // The newest streams are the most likely ones to be taken up.
        for (; !keys.empty() && batch.size() < limit; keys.pop_back())
            if (auto const found = entries_.find(keys.back()); found != entries_.end())
            {
                found->second.state = record_state::written;
                batch.written.push_back({found->first, found->second.origin});
            }
    }
    // Removals alone are worth a call only if there are many.
    if (batch.written.empty() && removals_.size() < min_removals)
        return batch;
    for (; !removals_.empty() && batch.size() < limit; removals_.pop_front())
        batch.removed.push_back(removals_.front());
    return batch;
}

void stream_versions::return_batch(stream_record_batch batch)
{
    for (auto record = batch.written.rbegin(); record != batch.written.rend(); ++record)
        if (entries_.count(record->key) != 0)
            unwritten_[record->origin.service].push_back(record->key);
    removals_.insert(removals_.begin(), batch.removed.begin(), batch.removed.end());
}

void stream_versions::note_records_lost()
{
    for (auto const& key : order_)
    {
        auto& known = entries_.at(key);
        if (known.state != record_state::written)
            continue;
        known.state = record_state::unwritten;
        unwritten_[known.origin.service].push_back(key);
    }
}

void stream_versions::expire(time_point now)
{
    while (!order_.empty() && now - entries_.at(order_.front()).begun_at >= retention_)
        erase_oldest();
}

} // namespace carawayturn::entry
