#pragma once

#include "state/time.hpp"

#include <optional>
#include <string>

namespace carawayturn::entry
{

/// What the headers of a backend server's answer state about further requests.
struct server_notice
{
    /// Id of the server that answered; empty if the answer has none.
    std::string sender;
    /// The server shuts down soon and accepts no new requests.
    bool leaving = false;
    /// Time for which the server wants no requests from this instance.
    std::optional<duration> pause;
    /// One of the headers for `leaving` and `pause` is repeated or has an invalid value.
    /// That header is ignored.
    bool malformed = false;
    /// How long the server is still cold.
    std::optional<duration> cold_left;
};

} // namespace carawayturn::entry
