#pragma once

#include "transport/entry/backend_connections.hpp"

#include <boost/beast/http/verb.hpp>

#include <optional>
#include <string>

namespace carawayturn::entry
{

struct call_request
{
    /// Names the other side among the kept connections.
    std::string peer;
    std::string address;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    /// The call is rejected by any other server; empty for the store.
    std::string server_id;
    duration timeout{};
    /// The call is not sent from then on. A connection may take long to open, and what
    /// allows the call may have ended meanwhile.
    time_point send_before = time_point::max();
};

struct call_answer
{
    unsigned status = 0;
    std::string body;
};

/// Makes one call. Nothing is returned if no whole answer arrived in time; the call may
/// then have been performed or may be later.
[[nodiscard]] task<std::optional<call_answer>> http_call(backend_connections& connections,
                                                         call_request request);

} // namespace carawayturn::entry
