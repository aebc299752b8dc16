#pragma once

#include "state/entry/server_notice.hpp"
#include "transport/entry/backend_connections.hpp"

#include <boost/beast/http/verb.hpp>

#include <functional>
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
    /// Asked right before the call is written, if set: a connection may take long to
    /// open, and what allows the call may have ended meanwhile.
    std::function<bool()> may_send;
    /// The call has a connection of its own, which ends with a reset unless the answer
    /// came: bytes that wait for the other side do not arrive later.
    bool dedicated_connection = false;
};

struct call_answer
{
    unsigned status = 0;
    std::string body;
    server_notice notice;
};

/// Makes one call. Nothing is returned if no whole answer arrived in time; the call may
/// then have been performed or may be later.
[[nodiscard]] task<std::optional<call_answer>> http_call(backend_connections& connections,
                                                         call_request request);

} // namespace carawayturn::entry
