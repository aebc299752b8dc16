#pragma once

#include "coordination/entry/byte_budget.hpp"
#include "state/entry/server_notice.hpp"
#include "transport/entry/backend_connections.hpp"
#include "transport/entry/decision_log.hpp"

#include <boost/beast/http/verb.hpp>

#include <functional>
#include <optional>
#include <string>

namespace carawayturn::entry
{

/// Maximum length of the answer to a call, in bytes. A page from the store holds at most
/// 1 MB before its values are encoded.
inline constexpr std::size_t max_call_answer = std::size_t{4} << 20U;

/// Limits for the body of the answer to a call.
struct call_answer_limits
{
    /// Maximum length in bytes.
    std::size_t max_bytes = max_call_answer;
    /// If set, the budget from which memory is taken beyond the first `free_bytes`.
    byte_budget* memory = nullptr;
    std::size_t free_bytes = 0;
};

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
    call_answer_limits answer_limits;
    /// If set, malformed answers are logged.
    decision_log* log = nullptr;
};

struct call_answer
{
    unsigned status = 0;
    std::string body;
    server_notice notice;
    /// The store's era, if the answer names one.
    std::optional<std::uint64_t> store_era;
};

/// Makes one call. Returns nothing if no complete answer arrived in time, or bytes that
/// are no answer; the peer may then have performed the call, or may still perform it. The
/// body of an answer that is too long, or for which there is no memory, is left out.
[[nodiscard]] task<std::optional<call_answer>> http_call(backend_connections& connections,
                                                         call_request request);

} // namespace carawayturn::entry
