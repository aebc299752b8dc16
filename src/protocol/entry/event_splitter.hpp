#pragma once

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Limit for the size of one event, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// Splits a text/event-stream into complete events. A line ends with "\n", "\r\n" or
/// "\r", and a blank line ends an event. Only complete events reach the caller, so a
/// stream that breaks off inside an event can be resumed at another backend server.
class event_splitter
{
public:
    void append(std::string_view bytes);

    /// Returns all complete events, which remain; empty if there is none.
    [[nodiscard]] std::string_view complete_events();
    /// Returns whether the complete events contain data or an id.
    [[nodiscard]] bool has_event_with_data();
    /// Removes and returns all complete events; returns an empty string if there is none.
    [[nodiscard]] std::string take_events();
    /// Returns whether the events of the last take_events() contain data or an id.
    /// Comment lines count as neither.
    [[nodiscard]] bool last_taken_has_data() const { return last_taken_has_data_; }
    /// Returns the memory that the received bytes take, in bytes. It may be twice as much
    /// as they are.
    [[nodiscard]] std::size_t allocated_bytes() const { return pending_.capacity(); }
    /// Returns whether the bytes that were not taken exceed max_event_bytes.
    [[nodiscard]] bool exceeds_limit() const { return pending_.size() > max_event_bytes; }

    /// Returns the received bytes of the event whose end has not arrived.
    [[nodiscard]] std::string_view incomplete_event() const
    {
        return std::string_view(pending_).substr(events_end_);
    }
    /// Returns whether the last byte looked at is a "\r" in a stream with lines that end
    /// with "\r\n", so that the "\n" is still to come.
    [[nodiscard]] bool ends_inside_line_end() const { return after_cr_ && crlf_seen_; }
    /// Discards the received bytes of the event whose end has not arrived.
    void discard_incomplete_event();

private:
    /// Searches the bytes that were not searched before, and updates events_end_.
    void find_last_event_end();

    std::string pending_;
    /// Number of bytes of pending_ that have been searched for an event's end, so that
    /// each byte is searched only once.
    std::size_t searched_bytes_ = 0;
    /// Position after the last blank line of pending_; 0 if there is none.
    std::size_t events_end_ = 0;
    /// Whether the next byte begins a line, unless it is the second one of "\r\n".
    bool at_line_start_ = true;
    bool after_cr_ = false;
    /// Whether a line has ended with "\r\n".
    bool crlf_seen_ = false;
    /// Whether the last line end ended a blank line.
    bool blank_line_ended_ = false;
    bool last_taken_has_data_ = false;
};

} // namespace carawayturn::entry
