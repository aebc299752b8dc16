#include "transport/rejection.hpp"

#include "protocol/caller_codec.hpp"
#include "transport/event_stream.hpp"

#include <boost/json/parse.hpp>

namespace carawayturn
{

namespace
{

constexpr unsigned first_error_status = 400;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

bool says_not_run(std::string_view body)
{
    boost::system::error_code failure;
    auto const document =
        boost::json::parse(boost::json::string_view(body.data(), body.size()), failure);
    if (failure)
        return false;
    for (auto const* const place : {"/error/ran", "/ran"})
    {
        auto const* const ran = document.find_pointer(place, failure);
        if (ran != nullptr && ran->is_string() && ran->get_string() == "not-run")
            return true;
    }
    return false;
}

} // namespace

bool proves_not_run(unsigned status, std::string_view body, bool chat)
{
    if (chat && (status == too_many_requests || status == service_unavailable))
        return true;
    return status >= first_error_status && says_not_run(body);
}

std::optional<token_count> usage_in_stream(std::string_view stream)
{
    event_splitter splitter;
    splitter.add(stream);
    std::optional<token_count> tokens;
    while (auto const next = splitter.next())
    {
        if (auto const used = parse_usage(event_data(*next)))
            tokens = used;
    }
    return tokens;
}

} // namespace carawayturn
