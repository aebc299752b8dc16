#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::placement
{

/// Where a reservation stands. Its memory is reserved in every phase.
enum class reservation_phase
{
    /// The load is decided; its order is needed until the engine acknowledges it.
    loading,
    loaded,
    /// The unload is decided; its order is needed until the engine acknowledges it.
    unloading
};

[[nodiscard]] std::string_view name_of(reservation_phase phase);

/// Memory of one model or adapter on a runner.
struct reservation
{
    decision_id load;
    /// Set in phase unloading.
    decision_id unload;
    loaded_item item;
    reservation_phase phase = reservation_phase::loading;
    /// The owner that sent the load saw every copy of its order answered: none can arrive
    /// later, so that a following owner may unload it at an engine without fencing.
    bool settled = false;
    friend bool operator==(reservation const&, reservation const&) = default;
};

/// Content of the row `runners/<id>`.
struct runner_row
{
    pool_id pool;
    incarnation_number incarnation = 0;
    byte_count capacity = 0;
    /// The pool's fencing number of the owner that wrote the row.
    fencing_number fence = 0;
    std::vector<reservation> reservations;
    friend bool operator==(runner_row const&, runner_row const&) = default;
};

/// Content of the row `pools/<pool>`. The row is never deleted, so that the fencing
/// number never decreases.
struct pool_row
{
    instance_id owner;
    incarnation_number incarnation = 0;
    /// The slot lease under which the owner acts.
    slot_number slot = 0;
    fencing_number slot_fence = 0;
    /// Fencing number of the pool; orders carry it.
    fencing_number fence = 0;
    bool released = false;
    friend bool operator==(pool_row const&, pool_row const&) = default;
};

inline constexpr std::string_view runner_prefix = "runners/";

[[nodiscard]] std::string runner_key(backend_id const& runner);
[[nodiscard]] std::string pool_key(pool_id const& pool);

[[nodiscard]] std::string print(runner_row const& row);
[[nodiscard]] std::string print(pool_row const& row);
[[nodiscard]] result<runner_row> parse_runner_row(std::string_view text);
[[nodiscard]] result<pool_row> parse_pool_row(std::string_view text);

} // namespace carawayturn::placement
