#pragma once

#include "coordination/backend_directory.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace carawayturn::flow
{

/// Chooses among backend servers that can serve a request: two random candidates, the
/// less loaded one wins. The load is the lagging report plus this instance's dispatches
/// since, because without that correction a burst goes to whichever server reported low
/// last.
class backend_chooser
{
public:
    struct limits
    {
        std::uint32_t max_in_flight = 64;
    };

    backend_chooser(std::uint64_t seed, limits maxima);

    /// Returns the backend server to use, or none if all candidates are busy. Servers in
    /// `tried` are used only if there is no other. `alone` needs a server with nothing of
    /// ours in flight; servers running a request alone get nothing else.
    [[nodiscard]] std::optional<backend_id>
    choose(std::vector<backend_status> const& candidates,
           std::set<backend_id> const& tried, std::uint64_t prefix_hash, bool alone);

    void note_dispatch(time_point now, backend_id const& backend,
                       std::uint64_t prefix_hash, bool alone);
    void note_end(backend_id const& backend, bool alone);

    /// Forgets dispatches that a report taken at that time already counts.
    void note_report(backend_id const& backend, time_point taken);

    [[nodiscard]] std::uint32_t in_flight(backend_id const& backend) const;

private:
    struct own_work
    {
        std::uint32_t in_flight = 0;
        bool runs_alone = false;
        std::deque<time_point> since_report;
    };

    [[nodiscard]] bool can_take(backend_status const& status, bool alone) const;
    [[nodiscard]] std::size_t load_of(backend_status const& status) const;
    [[nodiscard]] backend_status const*
    with_prefix(std::vector<backend_status const*> const& free,
                std::uint64_t prefix_hash) const;
    void remember_prefix(std::uint64_t prefix_hash, backend_id const& backend);

    limits limits_;
    std::minstd_rand random_;
    std::map<backend_id, own_work> work_;
    std::map<std::uint64_t, backend_id> prefix_backend_;
    std::deque<std::uint64_t> prefix_order_;
};

} // namespace carawayturn::flow
