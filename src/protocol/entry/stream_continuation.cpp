#include "protocol/entry/stream_continuation.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace carawayturn::entry
{

/// The fields of one event that matter for resuming a stream.
struct event_fields
{
    /// Whether there is a line other than a comment and the reconnection time.
    bool has_content = false;
    /// Whether there is a line with a field of event_field_names.
    bool has_known_field = false;
    std::optional<std::string_view> id;
};

namespace
{

/// Returns the media type of a Content-Type header without its parameters.
std::string_view media_type(std::string_view content_type)
{
    auto type = content_type.substr(0, content_type.find(';'));
    type.remove_prefix(std::min(type.find_first_not_of(" \t"), type.size()));
    return type.substr(0, type.find_last_not_of(" \t") + 1);
}

/// The standard fields of an event that hold a part of it.
constexpr std::array<std::string_view, 3> event_field_names{"id", "data", "event"};

bool is_event_field(std::string_view name)
{
    return std::find(event_field_names.begin(), event_field_names.end(), name) !=
           event_field_names.end();
}

/// Removes and returns the first line, without its end.
std::string_view take_line(std::string_view& text)
{
    auto const end = text.find_first_of("\r\n");
    auto const line = text.substr(0, end);
    text.remove_prefix(line.size());
    auto const end_bytes = text.substr(0, 2) == "\r\n" ? 2U : 1U;
    text.remove_prefix(std::min<std::size_t>(end_bytes, text.size()));
    return line;
}

bool is_decimal(std::string_view id)
{
    return !id.empty() && id.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Compares decimal numbers of any length.
bool is_greater(std::string_view number, std::string_view than)
{
    number.remove_prefix(std::min(number.find_first_not_of('0'), number.size()));
    than.remove_prefix(std::min(than.find_first_not_of('0'), than.size()));
    if (number.size() != than.size())
        return number.size() > than.size();
    return number > than;
}

/// Removes the first event and returns its fields.
event_fields take_event(std::string_view& events)
{
    event_fields fields;
    while (!events.empty())
    {
        auto const line = take_line(events);
        if (line.empty())
            break;
        auto const name = line.substr(0, line.find(':'));
        if (name.empty() || name == "retry")
            continue;
        fields.has_content = true;
        fields.has_known_field = fields.has_known_field || is_event_field(name);
        if (name != "id")
            continue;
        auto value = line.substr(std::min(name.size() + 1, line.size()));
        if (value.substr(0, 1) == " ")
            value.remove_prefix(1);
        fields.id = value;
    }
    return fields;
}

} // namespace

std::string_view name_of(continuation_fault fault)
{
    static constexpr std::array<std::string_view, 9> names{
        "",          "status",           "media_type",           "content_coding",
        "signature", "event_id_missing", "event_id_not_numeric", "event_id_not_greater",
        "no_event"};
    return names.at(static_cast<std::size_t>(fault));
}

bool is_event_stream(std::string_view content_type)
{
    return boost::beast::iequals(media_type(content_type), "text/event-stream");
}

bool has_event_content(std::string_view bytes)
{
    while (!bytes.empty())
        if (take_event(bytes).has_content)
            return true;
    return false;
}

bool begins_event(std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const size = bytes.size();
        auto const line = take_line(bytes);
        auto const name = line.substr(0, line.find(':'));
        if (name.empty() || name == "retry")
            continue;
        bool const cut = name.size() == size;
        return is_event_field(name) ||
               (cut && std::any_of(event_field_names.begin(), event_field_names.end(),
                                   [&](std::string_view field)
                                   { return field.starts_with(name); }));
    }
    return false;
}

continuation_fault find_head_fault(answer_form const& begun, answer_form const& answer)
{
    if (answer.status != begun.status)
        return continuation_fault::status;
    if (!answer.signed_by_server)
        return continuation_fault::signature;
    if (answer.encoded)
        return continuation_fault::content_coding;
    if (!boost::beast::iequals(media_type(answer.content_type),
                               media_type(begun.content_type)))
        return continuation_fault::media_type;
    return continuation_fault::none;
}

void stream_continuation::take_up(std::string const& last_id)
{
    if (is_decimal(last_id) && last_id.size() <= max_resume_id_bytes)
        last_id_ = last_id;
}

void stream_continuation::begin_run()
{
    resumed_ = !last_id_.empty();
    run_has_event_ = false;
    run_has_id_ = false;
}

continuation_fault stream_continuation::find_event_fault(event_fields const& event) const
{
    if (!event.has_content || (!event.id && run_has_id_))
        return continuation_fault::none;
    if (!event.id)
        return continuation_fault::event_id_missing;
    if (!is_decimal(*event.id))
        return continuation_fault::event_id_not_numeric;
    if (!is_greater(*event.id, last_id_))
        return continuation_fault::event_id_not_greater;
    return continuation_fault::none;
}

accepted_events stream_continuation::accept(std::string_view events)
{
    auto rest = events;
    while (!rest.empty())
    {
        auto const accepted = events.size() - rest.size();
        auto const event = take_event(rest);
        auto const fault = resumed_ ? find_event_fault(event) : continuation_fault::none;
        if (fault != continuation_fault::none)
            return {accepted, fault};
        note(event);
    }
    return {events.size(), continuation_fault::none};
}

void stream_continuation::note(event_fields const& event)
{
    if (!event.has_content)
        return;
    run_has_event_ = true;
    has_events_ = has_events_ || event.has_known_field;
    last_id_covers_all_ = event.id.has_value();
    if (!event.id)
        return;
    run_has_id_ = true;
    bool const increases =
        is_decimal(*event.id) && (last_id_.empty() || is_greater(*event.id, last_id_));
    if (increases)
        last_id_ = *event.id;
    if (!increases || event.id->size() > max_resume_id_bytes)
        ids_usable_ = false;
}

} // namespace carawayturn::entry
