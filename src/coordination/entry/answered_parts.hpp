#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace carawayturn::entry
{

/// Remembers the parts of prompts that backend servers have answered. Such a part does
/// not crash servers by itself, so the first crashes under it are not counted for it.
/// Handles the load pattern "many requests share a part, and some of them are in flight
/// whenever a server crashes". Holds a limited number of parts; the ones that were
/// answered least recently are forgotten first.
class answered_parts
{
public:
    /// @param capacity maximum number of parts.
    /// @param tolerated_crashes crashes without an answer in between that are not
    ///     counted for an answered part.
    answered_parts(std::size_t capacity, std::uint32_t tolerated_crashes);

    void note_answered(std::uint64_t part, time_point now);
    /// Returns whether a crash is not counted for the part. Crashes of several servers at
    /// nearly the same time are taken for one. A part that exceeds the tolerated crashes
    /// is forgotten.
    [[nodiscard]] bool tolerates_crash(std::uint64_t part, time_point now);
    /// Returns whether the part was answered at most `max_age` ago and no server has
    /// crashed under it since.
    [[nodiscard]] bool is_sound(std::uint64_t part, duration max_age,
                                time_point now) const;

    [[nodiscard]] std::size_t size() const { return index_.size(); }

private:
    struct answered_part
    {
        std::uint64_t part = 0;
        time_point answered_at{};
        std::uint32_t crashes = 0;
        time_point crashed_at{};
    };
    using part_list = std::list<answered_part>;

    std::size_t capacity_;
    std::uint32_t tolerated_crashes_;
    /// The most recently answered part comes first.
    part_list parts_;
    std::unordered_map<std::uint64_t, part_list::iterator> index_;
};

} // namespace carawayturn::entry
