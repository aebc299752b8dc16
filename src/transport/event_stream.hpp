#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayturn
{

/// Cuts a server-sent event stream into whole events, so that a break never shows a
/// caller half an event.
class event_splitter
{
public:
    void add(std::string_view bytes) { pending_ += bytes; }

    /// Returns the next whole event with its blank line; empty if there is none.
    [[nodiscard]] std::optional<std::string> next();

    /// Bytes of the event that is not whole yet.
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    std::string pending_;
    std::size_t searched_ = 0;
};

/// Returns the data of an event, its lines joined by newlines.
[[nodiscard]] std::string event_data(std::string_view event_text);

/// Whether the data is that of the event that ends a chat stream.
[[nodiscard]] bool ends_chat_stream(std::string_view data);

/// Whether the stream contains the whole event that ends a chat stream.
[[nodiscard]] bool has_chat_stream_end(std::string_view stream);

/// Whether the event counts for a stream's offset: it has data and is not "[DONE]".
[[nodiscard]] bool counts_for_offset(std::string_view data);

/// Prints an error event. The text must not contain newlines.
[[nodiscard]] std::string print_error_event(std::string_view text);

} // namespace carawayturn
