#pragma once

#include "state/fleet.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace carawayturn
{

/// Addresses of the backend servers as the platform's list last gave them. The last list
/// stays in force while the platform does not answer. Safe on any thread.
class address_book
{
public:
    void replace(std::vector<listed_instance> const& listed);

    [[nodiscard]] std::optional<endpoint> find(backend_id const& backend) const;

    /// All backend servers.
    [[nodiscard]] std::vector<std::pair<backend_id, endpoint>> all() const;

private:
    mutable std::mutex mutex_;
    std::map<backend_id, endpoint> addresses_;
};

} // namespace carawayturn
