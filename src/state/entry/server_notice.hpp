#pragma once

#include "state/time.hpp"

#include <optional>
#include <string>

namespace carawayturn::entry
{

/// What a backend server says with an answer about further requests.
struct server_notice
{
    /// Id of the server that answered; empty if the answer has none.
    std::string sender;
    /// The server shuts down soon and accepts no new requests.
    bool leaving = false;
    /// Time for which the server wants no requests from this instance.
    std::optional<duration> pause;
    /// A header is repeated or has an invalid value; it is ignored.
    bool malformed = false;
};

} // namespace carawayturn::entry
