#pragma once

#include <cstdint>
#include <optional>

namespace carawayturn::entry
{

/// The load that a backend server reported with an answer.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// How long work takes on the server's machine at this moment, relative to the usual
    /// time. Nothing if the server does not report it.
    std::optional<double> pace;

    [[nodiscard]] std::uint32_t requests() const { return running + waiting; }
};

} // namespace carawayturn::entry
