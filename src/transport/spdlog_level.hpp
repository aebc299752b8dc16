#pragma once

#include "state/log_catalogue.hpp"

#include <spdlog/common.h>

#include <array>

namespace carawayturn
{

[[nodiscard]] inline spdlog::level::level_enum spdlog_level(log_level level)
{
    static constexpr std::array levels{spdlog::level::debug, spdlog::level::info,
                                       spdlog::level::warn, spdlog::level::err};
    return levels.at(static_cast<std::size_t>(level));
}

} // namespace carawayturn
