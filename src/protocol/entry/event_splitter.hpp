#pragma once

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Cuts a text/event-stream into whole events, so that a stream that breaks off in the
/// middle of an event can go on at another backend server.
class event_splitter
{
public:
    void append(std::string_view bytes);

    /// Takes all whole events; empty if there is none.
    [[nodiscard]] std::string take_events();

    /// The id of the last event taken; empty before the first one with an id.
    [[nodiscard]] std::string const& last_id() const { return last_id_; }
    /// Bytes of an event that has not ended.
    [[nodiscard]] std::string const& rest() const { return pending_; }
    /// Forgets an event that has not ended.
    void drop_rest() { pending_.clear(); }

private:
    std::string pending_;
    std::string last_id_;
};

} // namespace carawayturn::entry
