#include "transport/event_stream.hpp"

#include <algorithm>

namespace carawayturn
{

namespace
{

/// Returns the position after the first blank line at or after `from`, or npos.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        if (text.substr(at + 1, 1) == "\n")
            return at + 2;
        if (text.substr(at + 1, 2) == "\r\n")
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

std::optional<std::string> event_splitter::next()
{
    auto const end = end_of_event(pending_, searched_);
    if (end == std::string::npos)
    {
        // A blank line may have begun within the last two bytes.
        searched_ = pending_.size() - std::min<std::size_t>(pending_.size(), 2);
        return std::nullopt;
    }
    std::string whole = pending_.substr(0, end);
    pending_.erase(0, end);
    searched_ = 0;
    return whole;
}

std::string event_data(std::string_view event_text)
{
    constexpr std::string_view field = "data:";
    std::string data;
    while (!event_text.empty())
    {
        auto const end = std::min(event_text.find('\n'), event_text.size());
        auto line = event_text.substr(0, end);
        event_text.remove_prefix(std::min(end + 1, event_text.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        data += (data.empty() ? "" : "\n") + std::string(line);
    }
    return data;
}

bool ends_chat_stream(std::string_view data)
{
    return data == "[DONE]";
}

bool has_chat_stream_end(std::string_view stream)
{
    for (auto end = end_of_event(stream, 0); end != std::string_view::npos;
         end = end_of_event(stream, 0))
    {
        if (ends_chat_stream(event_data(stream.substr(0, end))))
            return true;
        stream.remove_prefix(end);
    }
    return false;
}

bool counts_for_offset(std::string_view data)
{
    return !data.empty() && !ends_chat_stream(data);
}

std::string print_error_event(std::string_view text)
{
    return "event: error\ndata: " + std::string(text) + "\n\n";
}

} // namespace carawayturn
