#pragma once

#include "state/time.hpp"

#include <optional>
#include <string>

namespace carawayturn::entry
{

/// What a backend server says with an answer about further requests.
struct server_notice
{
    /// Who answered; empty if the answer does not tell.
    std::string sender;
    /// The server ends soon and wants nothing new from anybody.
    bool leaving = false;
    /// The server wants nothing from the asking instance for so long.
    std::optional<duration> pause;
    /// A word is there that cannot be understood; it is ignored.
    bool malformed = false;
};

} // namespace carawayturn::entry
