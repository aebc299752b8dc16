#pragma once

#include <compare>
#include <string>

namespace carawayturn::entry
{

/// The service of a backend server and the version of its software. Versions have no
/// order; what two versions write in a stream does not fit together.
struct server_version
{
    std::string service;
    /// Empty if the server does not state it.
    std::string version;
    friend auto operator<=>(server_version const&, server_version const&) = default;
};

} // namespace carawayturn::entry
