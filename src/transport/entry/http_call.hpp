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
    /// Key of the peer in the pool of idle connections.
    std::string peer;
    std::string address;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    /// Id of the server that the call is for; any other server rejects it. Empty for
    /// calls to the store.
    std::string server_id;
    duration timeout{};
    /// If set, called immediately before the call is written; the call is dropped if it
    /// returns false. Opening a connection may take long enough for the lease that
    /// permits the call to end.
    std::function<bool()> may_send;
    /// Uses a new connection that is not reused and that is closed with a reset. The
    /// reset discards bytes that the peer has not received, so that they do not arrive
    /// after the call has failed.
    bool dedicated_connection = false;
};

struct call_answer
{
    unsigned status = 0;
    std::string body;
    server_notice notice;
};

/// Makes one call. Returns nothing if no complete answer arrived in time. The body of an
/// answer that is too long is left out. The peer may
/// then have performed the call, or may still perform it.
[[nodiscard]] task<std::optional<call_answer>> http_call(backend_connections& connections,
                                                         call_request request);

} // namespace carawayturn::entry
