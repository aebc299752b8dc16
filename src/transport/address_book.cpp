#include "transport/address_book.hpp"

namespace carawayturn
{

void address_book::replace(std::vector<listed_instance> const& listed)
{
    std::map<backend_id, endpoint> next;
    for (auto const& each : listed)
    {
        if (each.kind != "entry")
            next[backend_id(each.id)] = each.address;
    }
    std::lock_guard const lock(mutex_);
    addresses_ = std::move(next);
}

std::optional<endpoint> address_book::find(backend_id const& backend) const
{
    std::lock_guard const lock(mutex_);
    auto const found = addresses_.find(backend);
    if (found == addresses_.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::pair<backend_id, endpoint>> address_book::all() const
{
    std::lock_guard const lock(mutex_);
    return {addresses_.begin(), addresses_.end()};
}

} // namespace carawayturn
