#include "protocol/entry/stream_continuation.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace carawayturn::entry
{

namespace
{

/// Returns the media type of a Content-Type header without its parameters.
std::string_view media_type(std::string_view content_type)
{
    auto type = content_type.substr(0, content_type.find(';'));
    type.remove_prefix(std::min(type.find_first_not_of(" \t"), type.size()));
    return type.substr(0, type.find_last_not_of(" \t") + 1);
}

} // namespace

std::string_view name_of(continuation_fault fault)
{
    static constexpr std::array<std::string_view, 5> names{"", "status", "media_type",
                                                           "content_coding", "signature"};
    return names.at(static_cast<std::size_t>(fault));
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

} // namespace carawayturn::entry
