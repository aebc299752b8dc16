#include "protocol/entry/event_splitter.hpp"

#include <utility>

namespace carawayturn::entry
{

namespace
{

bool is_line_end(char c)
{
    return c == '\n' || c == '\r';
}

/// Returns whether a line of the events starts with the field name.
bool has_field(std::string_view events, std::string_view field)
{
    auto found = events.find(field);
    while (found != std::string_view::npos)
    {
        if (found == 0 || is_line_end(events[found - 1]))
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

void event_splitter::find_last_event_end()
{
    for (; searched_bytes_ < pending_.size(); ++searched_bytes_)
    {
        char const c = pending_[searched_bytes_];
        bool const second_of_crlf = c == '\n' && after_cr_;
        if (second_of_crlf ? blank_line_ended_ : is_line_end(c) && at_line_start_)
            events_end_ = searched_bytes_ + 1;
        if (!second_of_crlf)
            blank_line_ended_ = is_line_end(c) && at_line_start_;
        crlf_seen_ = crlf_seen_ || second_of_crlf;
        at_line_start_ = is_line_end(c);
        after_cr_ = c == '\r';
    }
}

void event_splitter::discard_incomplete_event()
{
    // An assignment alone would keep the memory.
    std::string().swap(pending_);
    *this = {};
}

std::string_view event_splitter::complete_events()
{
    find_last_event_end();
    return std::string_view(pending_).substr(0, events_end_);
}

bool event_splitter::has_event_with_data()
{
    auto const events = complete_events();
    return has_field(events, "id:") || has_field(events, "data");
}

std::string event_splitter::take_events()
{
    last_taken_has_data_ = has_event_with_data();
    if (events_end_ == 0)
        return {};
    auto events = std::exchange(pending_, std::string(incomplete_event()));
    events.resize(events_end_);
    searched_bytes_ = pending_.size();
    events_end_ = 0;
    return events;
}

} // namespace carawayturn::entry
