#include "protocol/entry/event_splitter.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Size of the longest byte sequence that ends an event, "\n\r\n".
constexpr std::size_t max_event_end_bytes = 3;

/// Returns the position after the last blank line, or 0 if there is none.
std::size_t find_last_event_end(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::string_view const event_end : {"\n\n", "\n\r\n"})
    {
        auto const found = bytes.rfind(event_end);
        if (found != std::string_view::npos)
            end = std::max(end, found + event_end.size());
    }
    return end;
}

/// Returns whether a line of the events starts with the field name.
bool has_field(std::string_view events, std::string_view field)
{
    auto found = events.find(field);
    while (found != std::string_view::npos)
    {
        if (found == 0 || events[found - 1] == '\n')
            return true;
        found = events.find(field, found + 1);
    }
    return false;
}

} // namespace

void event_splitter::append(std::string_view bytes)
{
    pending_.append(bytes);
}

std::string event_splitter::take_events()
{
    auto const begin =
        searched_bytes_ - std::min(searched_bytes_, max_event_end_bytes - 1);
    auto const end = find_last_event_end(std::string_view(pending_).substr(begin));
    searched_bytes_ = pending_.size();
    last_taken_has_data_ = false;
    if (end == 0)
        return {};
    std::string events = pending_.substr(0, begin + end);
    pending_.erase(0, begin + end);
    searched_bytes_ = pending_.size();
    last_taken_has_data_ = has_field(events, "id:") || has_field(events, "data");
    return events;
}

} // namespace carawayturn::entry
