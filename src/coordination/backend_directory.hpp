#pragma once

#include "coordination/component.hpp"
#include "state/fleet.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace carawayturn
{

/// What is known of one backend server.
struct backend_status
{
    backend_id id;
    pool_id pool;
    backend_kind kind = backend_kind::runner;
    endpoint address;
    failure_domain_id failure_domain;
    incarnation_number incarnation = 0;
    /// Leaving is sticky for an incarnation, even if a stale list shows it live again.
    bool leaving = false;
    bool reachable = true;
    std::optional<backend_report> report;
    time_point reported_at{};
};

/// Merges the platform's lagging list, reports and gossip into one view of backend
/// servers. Raises backend_crashed when a server's incarnation changes or it becomes
/// unreachable.
class backend_directory : public component
{
public:
    [[nodiscard]] static std::unique_ptr<backend_directory> create();

    [[nodiscard]] virtual std::optional<backend_status>
    find(backend_id const& id) const = 0;

    /// Backend servers of a pool that may get new work: live, reachable, not leaving.
    [[nodiscard]] virtual std::vector<backend_status>
    usable(pool_id const& pool) const = 0;

    /// All backend servers known, for placement and the state dump.
    [[nodiscard]] virtual std::vector<backend_status> all() const = 0;

    /// Leaving servers with their incarnations, for gossip.
    [[nodiscard]] virtual std::vector<std::pair<backend_id, incarnation_number>>
    leaving() const = 0;
};

} // namespace carawayturn
