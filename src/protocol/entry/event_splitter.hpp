#pragma once

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Longest event, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// Cuts a text/event-stream into whole events, so that a stream that breaks off in the
/// middle of an event can go on at another backend server.
class event_splitter
{
public:
    void append(std::string_view bytes);

    /// Takes all whole events; empty if there is none.
    [[nodiscard]] std::string take_events();
    /// Whether the events taken last carry data or an id; comment lines do not.
    [[nodiscard]] bool last_taken_has_data() const { return last_taken_has_data_; }
    /// Whether the event that has not ended is longer than any sound one.
    [[nodiscard]] bool incomplete_event_too_long() const
    {
        return pending_.size() > max_event_bytes;
    }

    /// The id of the last event taken; empty before the first one with an id.
    [[nodiscard]] std::string const& last_id() const { return last_id_; }
    /// Bytes of an event that has not ended.
    [[nodiscard]] std::string const& incomplete_event() const { return pending_; }
    /// Forgets an event that has not ended.
    void discard_incomplete_event()
    {
        pending_.clear();
        searched_bytes_ = 0;
    }

private:
    std::string pending_;
    /// Bytes of it in which no end of an event was found, so that each is searched once.
    std::size_t searched_bytes_ = 0;
    std::string last_id_;
    bool last_taken_has_data_ = false;
};

} // namespace carawayturn::entry
