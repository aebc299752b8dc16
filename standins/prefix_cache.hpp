#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace carawayturn::standins
{

struct prefix_cache_settings
{
    /// Prefixes kept.
    std::size_t capacity = 64;
    std::chrono::milliseconds event_lag{0};
    /// Every event with a multiple of this number is never shown; 0 shows all.
    std::uint64_t gap_every = 0;
};

/// Cached prompt prefixes of a model engine and the events about them. Thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(prefix_cache_settings settings) : settings_(settings) {}

    /// Returns whether the prefix was cached, and caches it.
    bool touch(std::string const& model, std::string const& prefix);

    /// Removes everything; a crash sends no events about it.
    void clear();

    /// Events with a higher number that are old enough to be shown.
    [[nodiscard]] boost::json::array events_after(std::uint64_t number) const;

private:
    struct cached_prefix
    {
        std::string model;
        std::string prefix;
        friend bool operator==(cached_prefix const&, cached_prefix const&) = default;
    };
    struct cache_event
    {
        std::uint64_t number = 0;
        std::chrono::steady_clock::time_point at;
        char const* kind = "";
        cached_prefix subject;
    };

    void append_event(char const* kind, cached_prefix const& subject);

    prefix_cache_settings settings_;
    mutable std::mutex mutex_;
    std::deque<cached_prefix> prefixes_;
    std::deque<cache_event> events_;
    std::uint64_t last_event_ = 0;
};

} // namespace carawayturn::standins
